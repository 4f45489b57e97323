/// Umbrella header of the net package, without datagrams, the listener and the line splitter.
#pragma once

#include "net/address.h"
#include "net/backoff.h"
#include "net/clock.h"
#include "net/handles.h"
#include "net/idle_timeout.h"
#include "net/stream.h"
#include "net/timer.h"
