#include "zinniadoor/ctl/files.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace zinniadoor::ctl {

namespace {

constexpr const char *StandardStream = "-";
constexpr mode_t SecretMode = S_IRUSR | S_IWUSR;
constexpr mode_t OrdinaryMode = S_IRUSR | S_IWUSR | S_IRGRP | S_IROTH;

base::Reason cannotWrite(const std::string &path)
{
    return { base::ReasonCode::Unavailable, absl::StrCat(path, ": cannot be written") };
}

bool writeAll(int file, const std::string &content)
{
    std::size_t written = 0;
    while (written < content.size()) {
        const ssize_t count = write(file, content.data() + written, content.size() - written);
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return fsync(file) == 0;
}

base::Status writeThenRename(const std::string &path, const std::string &content, mode_t mode)
{
    const std::string temporary = absl::StrCat(path, ".new.", getpid());
    const int file = open(temporary.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
    if (file < 0)
        return cannotWrite(path);
    const bool written = writeAll(file, content);
    close(file);
    if (written && std::rename(temporary.c_str(), path.c_str()) == 0)
        return base::Done {};
    unlink(temporary.c_str());
    return cannotWrite(path);
}

} // namespace

base::Outcome<std::string> readFile(const std::string &path)
{
    std::ostringstream content;
    if (path == StandardStream) {
        content << std::cin.rdbuf();
        return content.str();
    }
    const std::ifstream in(path, std::ios::binary);
    if (!in)
        return base::Reason { base::ReasonCode::NotFound, absl::StrCat(path, ": cannot be read") };
    content << in.rdbuf();
    return content.str();
}

base::Status writeFile(const std::string &path, const std::string &content)
{
    if (path != StandardStream)
        return writeThenRename(path, content, OrdinaryMode);
    std::cout << content << std::flush;
    if (!std::cout)
        return cannotWrite("standard output");
    return base::Done {};
}

base::Status writeSecretFile(const std::string &path, const std::string &content)
{
    if (path == StandardStream)
        return writeFile(path, content);
    return writeThenRename(path, content, SecretMode);
}

} // namespace zinniadoor::ctl
