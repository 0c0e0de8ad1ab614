/** @file Errors with a result code and a message, based on Boost.LEAF. */
#pragma once

#include "base/code.h"

#include <boost/leaf.hpp>
#include <exception>
#include <string>
#include <utility>
#include <variant>

namespace marigold::base {

/** Reason for which an operation failed. */
struct Error
{
  Code code = Code::Internal;
  std::string message; ///< one plain sentence for logs and answers
};

template<typename Value>
using Result = boost::leaf::result<Value>;

/**
 * Creates an error. Usage: `return fail(Code::NotFound, "no such key");`
 * @param aCode result code
 * @param aMessage one plain sentence
 * @return the LEAF error id, convertible to any Result
 */
inline boost::leaf::error_id
fail(Code aCode, std::string aMessage)
{
  return boost::leaf::new_error(Error{ aCode, std::move(aMessage) });
}

/** Trait with the value type of a Result. */
template<typename Any>
struct ResultValue;

template<typename Value>
struct ResultValue<boost::leaf::result<Value>>
{
  using Type = Value;
};

/**
 * A value or an error as plain data. LEAF keeps errors only within a call, so
 * callbacks that run after it has returned need a copy.
 */
template<typename Value>
using Captured =
  std::variant<std::conditional_t<std::is_void_v<Value>, std::monostate, Value>,
               Error>;

/**
 * @param aCaptured result of capture()
 * @return its error, or nullptr if it holds a value
 */
template<typename Value>
const Error*
errorOf(const std::variant<Value, Error>& aCaptured)
{
  return std::get_if<Error>(&aCaptured);
}

/**
 * Runs a function and returns its value or its error, for code that handles the
 * error itself. An exception becomes an error that names it.
 * @param aFunction callable that returns Result<Value>
 * @return a variant of Value (std::monostate for Result<void>) and Error
 */
template<typename Function>
auto
capture(Function&& aFunction)
{
  using Value = typename ResultValue<decltype(aFunction())>::Type;
  using CapturedResult = Captured<Value>;
  return boost::leaf::try_handle_all(
    [&]() -> Result<CapturedResult> {
      auto result = aFunction();
      if (!result) {
        return result.error();
      }
      if constexpr (std::is_void_v<Value>) {
        return CapturedResult{ std::monostate{} };
      } else {
        return CapturedResult{ std::move(result.value()) };
      }
    },
    [](const Error& aError) { return CapturedResult{ aError }; },
    [](const std::exception& aException) {
      return CapturedResult{ Error{
        Code::Internal, std::string("exception: ") + aException.what() } };
    },
    [] {
      return CapturedResult{ Error{ Code::Internal, "unclassified error" } };
    });
}

} // namespace marigold::base
