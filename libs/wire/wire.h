/**
 * @file
 * Public header of the wire library: HTTP/1.1 connections of a proxy, built on
 * bufferevents and http_parser. evhttp does not report a caller that
 * disconnects before its response, and does not separate surplus bytes from a
 * response, so the gateway's connections to callers and upstreams don't use it.
 */
#pragma once

#include "wire/caller_connection.h"
#include "wire/closed_caller.h"
#include "wire/connection_pool.h"
#include "wire/event_stream.h"
#include "wire/message.h"
#include "wire/parser.h"
#include "wire/upstream.h"
