#include "endivedoor/policy/Scheduler.h"
