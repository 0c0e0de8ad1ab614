/**
 * @file
 * Public header of the wire library: HTTP/1.1 as a proxy needs it, on
 * bufferevents and the http_parser library. evhttp neither reports a caller
 * that leaves before its answer nor keeps surplus bytes of an answer apart,
 * which is why callers and upstreams are served here.
 */
#pragma once

#include "wire/caller_connection.h"
#include "wire/connection_pool.h"
#include "wire/event_stream.h"
#include "wire/message.h"
#include "wire/parser.h"
#include "wire/upstream.h"
