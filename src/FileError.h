#pragma once

/// An error on reading or writing a file.

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace jayhold {

struct FileError {
    std::string path;
    /// The value of errno after the failed call.
    int errorNumber;
};

/// Reads a whole file.
/// @param path the file's path; "-" reads standard input.
/// @return the content, or FileError.
auto readFile(const std::string& path) -> boost::leaf::result<std::string>;

/// @return one line for the user: the path and the system's error message.
auto describe(const FileError& error) -> std::string;

}
