/**
 * @file
 * Public header of the http library: the event loop, an HTTP server and an HTTP
 * client on libevent.
 */
#pragma once

#include "http/address.h"
#include "http/client.h"
#include "http/held_signals.h"
#include "http/input_timer.h"
#include "http/kept_connection.h"
#include "http/loop.h"
#include "http/message.h"
#include "http/server.h"
