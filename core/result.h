#pragma once

#include "core/error.h"

#include <system_error>
#include <utility>
#include <variant>

namespace foxtailtally {

/** Either a value of type @p T or the error that prevented it. */
template <typename T>
class Result
{
public:
    Result(T value) // NOLINT(google-explicit-constructor)
        : storage(std::in_place_index<0>, std::move(value))
    { }
    Result(std::error_code error) // NOLINT(google-explicit-constructor)
        : storage(std::in_place_index<1>, error)
    { }
    Result(Error error) // NOLINT(google-explicit-constructor)
        : storage(std::in_place_index<1>, make_error_code(error))
    { }

    bool ok() const { return this->storage.index() == 0; }
    explicit operator bool() const { return this->ok(); }

    /** The value; the result must be ok(). */
    const T &value() const & { return std::get<0>(this->storage); }
    T &value() & { return std::get<0>(this->storage); }
    T &&value() && { return std::get<0>(std::move(this->storage)); }
    const T &operator*() const & { return this->value(); }
    T &operator*() & { return this->value(); }
    const T *operator->() const { return &this->value(); }
    T *operator->() { return &this->value(); }

    /** The error, or a zero code when the result is ok(). */
    std::error_code error() const
    {
        return this->ok() ? std::error_code() : std::get<1>(this->storage);
    }

private:
    std::variant<T, std::error_code> storage;
};

} // namespace foxtailtally
