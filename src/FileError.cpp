#include "FileError.h"

#include <cerrno>
#include <fstream>
#include <iostream>
#include <iterator>
#include <system_error>

namespace jayhold {

namespace {

auto readAll(std::istream& input) -> std::string
{
    return { std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>() };
}

}

auto readFile(const std::string& path) -> boost::leaf::result<std::string>
{
    if (path == "-")
        return readAll(std::cin);
    errno = 0;
    std::ifstream input(path, std::ios::binary);
    if (!input)
        return boost::leaf::new_error(FileError { path, errno });
    return readAll(input);
}

auto describe(const FileError& error) -> std::string
{
    return error.path + ": " + std::generic_category().message(error.errorNumber);
}

}
