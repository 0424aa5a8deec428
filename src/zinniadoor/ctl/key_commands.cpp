#include "key_commands.hpp"

#include <iostream>

#include <sodium.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/control/configuration_chain.hpp"
#include "zinniadoor/ctl/arguments.hpp"
#include "zinniadoor/ctl/bundle_draft.hpp"
#include "zinniadoor/ctl/bundle_source.hpp"
#include "zinniadoor/ctl/files.hpp"

#include "publish_command.hpp"

namespace zinniadoor::ctl {

namespace {

constexpr std::size_t SaltBytes = 16;
constexpr std::size_t SecretBytes = 24;
constexpr std::size_t KeyIdBytes = 6;
constexpr int DefaultWaitSeconds = 30;
constexpr int MaxWaitSeconds = 3600;

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

ExitCode fail(const base::Reason &reason, ExitCode code)
{
    std::cerr << reason.text << "\n";
    return code;
}

class KeygenCommand : public Command
{
public:
    std::string name() const override { return "keygen"; }
    std::string brief() const override { return "generate an operator's signing key"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> out("o", "out", "output file for the secret key", true, "",
                                         "FILE", parser.line());
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        const control::KeyPair pair = control::generateKeyPair();
        const base::Status written = writeSecretFile(out.getValue(), pair.secretKey + "\n");
        if (!written)
            return fail(written.lastReason(), ExitCode::Failed);
        std::cout << pair.publicKey << "\n";
        return ExitCode::Ok;
    }
};

/// A caller's key: the text given to the caller and the record stored in the bundle.
struct NewKey
{
    std::string text;
    control::KeyRecord record;
};

NewKey newCallerKey()
{
    NewKey key;
    const std::string secret = randomHex(SecretBytes);
    key.record.id = base::KeyId(randomHex(KeyIdBytes));
    key.record.salt = randomHex(SaltBytes);
    key.record.digest = control::keyDigest(key.record.salt, secret);
    key.text = absl::StrCat("zd_", key.record.id.str(), "_", secret);
    return key;
}

class KeyIssueCommand : public Command
{
public:
    std::string name() const override { return "key issue"; }
    std::string brief() const override { return "add a caller's key to a draft and print it once"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> file("b", "bundle", "draft to edit", true, "", "FILE",
                                          parser.line());
        TCLAP::ValueArg<std::string> organisation("g", "org", "organisation", true, "", "ID",
                                                  parser.line());
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        if (file.getValue() == "-")
            return fail(
                { base::ReasonCode::InvalidArgument,
                  "--bundle: must be a file, because the key is written to standard output" },
                ExitCode::Usage);
        const base::Outcome<std::string> text = readFile(file.getValue());
        if (!text)
            return fail(text.lastReason(), ExitCode::Usage);
        base::Outcome<BundleDraft> draft = BundleDraft::parse(*text, file.getValue());
        if (!draft)
            return fail(draft.lastReason(), ExitCode::Usage);
        const NewKey key = newCallerKey();
        const base::Status added = draft->addKey(organisation.getValue(), key.record);
        if (!added)
            return fail(added.lastReason(), ExitCode::Usage);
        // Printed before it is stored, so that the bundle never holds a key that nobody received.
        std::cout << key.text << std::endl;
        if (!std::cout)
            return fail(
                { base::ReasonCode::Unavailable, "cannot print the key; the draft is unchanged" },
                ExitCode::Failed);
        const ExitCode saved = saveDraft(*draft, file.getValue());
        if (saved != ExitCode::Ok)
            std::cerr << "the draft is unchanged; the key printed above is not valid\n";
        return saved;
    }
};

class KeyWithdrawCommand : public Command
{
public:
    std::string name() const override { return "key withdraw"; }
    std::string brief() const override { return "revoke a caller's key immediately"; }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        Arguments parser(name(), brief());
        TCLAP::ValueArg<std::string> id("i", "id", "key id, the middle part of zd_ID_SECRET", true,
                                        "", "ID", parser.line());
        TCLAP::ValueArg<std::string> platform("p", "platform", "URL of the platform", true, "",
                                              "URL", parser.line());
        TCLAP::MultiArg<std::string> operators(
            "u", "operator", "operator id; repeat for each signature", true, "ID", parser.line());
        TCLAP::MultiArg<std::string> keys("k", "key",
                                          "secret key file of each operator, in the same order",
                                          true, "FILE", parser.line());
        TCLAP::ValueArg<int> wait("w", "wait", "seconds to wait for confirmation by all instances",
                                  false, DefaultWaitSeconds, "SECONDS", parser.line());
        if (const std::optional<ExitCode> ended = parser.parse(arguments))
            return *ended;
        const bool waitFits = wait.getValue() >= 0 && wait.getValue() <= MaxWaitSeconds;
        if (!waitFits || operators.getValue().size() != keys.getValue().size())
            return fail({ base::ReasonCode::InvalidArgument,
                          "give one --key per --operator, and --wait between 0 and 3600" },
                        ExitCode::Usage);
        const base::Outcome<ValidatedBundle> active
            = readActiveBundle(*openLog(platform.getValue()));
        if (!active)
            return fail(active.lastReason(), ExitCode::Failed);
        control::KeyWithdrawn record;
        record.key = base::KeyId(id.getValue());
        record.text = control::withdrawalText(record.key, control::bundleDigest(active->yaml));
        for (std::size_t i = 0; i < keys.getValue().size(); ++i) {
            const base::Status added
                = addSignature(operators.getValue()[i], keys.getValue()[i], record);
            if (!added)
                return fail(added.lastReason(), ExitCode::Usage);
        }
        return publishRecord(record, platform.getValue(), absl::Seconds(wait.getValue()));
    }

private:
    static base::Status addSignature(const std::string &operatorId, const std::string &path,
                                     control::KeyWithdrawn &record)
    {
        const base::Outcome<std::string> secret = readFile(path);
        if (!secret)
            return secret.lastReason();
        const base::Outcome<control::Signature> signature = control::signText(
            record.text, operatorId, std::string(absl::StripAsciiWhitespace(*secret)));
        if (!signature)
            return signature.lastReason();
        record.signatures.push_back(*signature);
        return base::Done {};
    }
};

} // namespace

std::vector<std::unique_ptr<Command>> keyCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<KeygenCommand>());
    commands.push_back(std::make_unique<KeyIssueCommand>());
    commands.push_back(std::make_unique<KeyWithdrawCommand>());
    return commands;
}

} // namespace zinniadoor::ctl
