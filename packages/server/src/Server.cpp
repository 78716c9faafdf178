#include "endivedoor/base/Base.h"
