#include "endivedoor/control/ControlApi.h"
