#include "endivedoor/model/Job.h"
#include "endivedoor/model/Rules.h"
#include "endivedoor/model/Settings.h"
#include "endivedoor/model/Worker.h"
