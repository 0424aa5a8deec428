#include "key_commands.hpp"

#include <iostream>

#include <sodium.h>

#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/ctl/arguments.hpp"
#include "zinniadoor/ctl/files.hpp"

namespace zinniadoor::ctl {

namespace {

constexpr std::size_t SaltBytes = 16;
constexpr std::size_t SecretBytes = 24;
constexpr std::size_t KeyIdBytes = 6;

std::string randomHex(std::size_t bytes)
{
    std::string raw(bytes, '\0');
    randombytes_buf(raw.data(), raw.size());
    std::string hex(bytes * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), reinterpret_cast<const unsigned char *>(raw.data()),
                   raw.size());
    hex.pop_back();
    return hex;
}

class KeygenCommand : public Command
{
public:
    std::string name() const override { return "keygen"; }
    std::string brief() const override { return "make an operator's signing key"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> out("o", "out", "file for the secret key", true, "", "FILE",
                                         parser.line());
        const Arguments::Result parsed = parser.parse(arguments);
        if (parsed != Arguments::Result::Run)
            return parsed == Arguments::Result::Wrong ? ExitCode::Usage : ExitCode::Ok;
        const control::KeyPair pair = control::newSigningKey();
        const base::Status written = writeSecretFile(out.getValue(), pair.secretKey + "\n");
        if (!written) {
            std::cerr << written.lastReason().text << "\n";
            return ExitCode::Failed;
        }
        std::cout << pair.publicKey << "\n";
        return ExitCode::Ok;
    }
};

class KeyNewCommand : public Command
{
public:
    std::string name() const override { return "key new"; }
    std::string brief() const override { return "make a caller's key and its bundle entry"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        const Arguments::Result parsed = parser.parse(arguments);
        if (parsed != Arguments::Result::Run)
            return parsed == Arguments::Result::Wrong ? ExitCode::Usage : ExitCode::Ok;
        const std::string id = randomHex(KeyIdBytes);
        const std::string secret = randomHex(SecretBytes);
        const std::string salt = randomHex(SaltBytes);
        std::cout << "key: zd_" << id << "_" << secret << "\n"
                  << "entry: {id: " << id << ", salt: " << salt
                  << ", digest: " << control::keyDigest(salt, secret) << "}\n";
        return ExitCode::Ok;
    }
};

} // namespace

std::vector<std::unique_ptr<Command>> keyCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<KeygenCommand>());
    commands.push_back(std::make_unique<KeyNewCommand>());
    return commands;
}

} // namespace zinniadoor::ctl
