/**
 * @file
 * Public header of the chat library: translation between the OpenAI chat API of
 * callers and the types of the request path. It makes no decisions and has no
 * sockets or clocks.
 */
#pragma once

#include "chat/answer_reader.h"
#include "chat/error_body.h"
#include "chat/model_list.h"
#include "chat/request.h"
