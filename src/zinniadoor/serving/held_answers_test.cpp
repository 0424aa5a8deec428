#include "zinniadoor/serving/held_answers.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

/// Limits of 100 bytes for a short answer, 1000 for pauses and 2000 in all.
struct HeldAnswersFixture
{
    struct Answer
    {
        std::unique_ptr<HeldAnswer> held;
        bool isPaused = false;
        bool isGivenUp = false;
        std::size_t bytes = 0;
    };

    Answer &add(const std::string &endpoint)
    {
        all.push_back(std::make_unique<Answer>());
        Answer *answer = all.back().get();
        HeldAnswerActions actions;
        actions.setPaused = [answer](bool paused) { answer->isPaused = paused; };
        actions.giveUp = [answer] {
            answer->isGivenUp = true;
            answer->held.reset();
        };
        answer->held
            = std::make_unique<HeldAnswer>(held, base::EndpointId(endpoint), std::move(actions));
        return *answer;
    }

    /// Receives bytes if the answer is read; returns whether it was.
    static bool receive(Answer &answer, std::size_t bytes)
    {
        if (!answer.held || answer.isPaused)
            return false;
        answer.bytes += bytes;
        answer.held->resize(answer.bytes);
        return true;
    }

    HeldAnswersOptions options { 100, 1000, 2000 };
    std::shared_ptr<HeldAnswers> held = std::make_shared<HeldAnswers>(options);
    std::vector<std::unique_ptr<Answer>> all;
};

BOOST_FIXTURE_TEST_SUITE(HeldAnswersTest, HeldAnswersFixture)

BOOST_AUTO_TEST_CASE(answers_fewBytes_areNotPaused)
{
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(receive(add("a"), 100));
    BOOST_TEST(held->bytes() == 1000u);
    for (const auto &answer : all)
        BOOST_TEST(!answer->isPaused);
}

BOOST_AUTO_TEST_CASE(answers_manyBytes_onlyLongestOfEachEndpointIsRead)
{
    Answer &first = add("a");
    Answer &second = add("a");
    Answer &other = add("b");
    receive(first, 600);
    receive(second, 300);
    receive(other, 200);
    receive(second, 10);
    receive(first, 10);
    receive(other, 10);
    BOOST_TEST(!first.isPaused);
    BOOST_TEST(second.isPaused);
    BOOST_TEST(!other.isPaused);
}

BOOST_AUTO_TEST_CASE(shortAnswer_manyBytesHeld_isNotPaused)
{
    receive(add("a"), 1500);
    Answer &small = add("a");
    receive(small, 100);
    BOOST_TEST(!small.isPaused);
}

BOOST_AUTO_TEST_CASE(longestAnswer_ends_nextOneIsRead)
{
    std::vector<Answer *> answers;
    for (int i = 0; i < 4; ++i)
        answers.push_back(&add("a"));
    for (std::size_t i = 0; i < 4; ++i)
        receive(*answers[i], 490 - 10 * i);
    for (std::size_t i = 0; i < 4; ++i)
        receive(*answers[i], 1);
    BOOST_TEST(!answers[0]->isPaused);
    BOOST_TEST(answers[1]->isPaused);
    answers[0]->held.reset();
    BOOST_TEST(!answers[1]->isPaused);
    BOOST_TEST(answers[3]->isPaused);
    answers[1]->held.reset();
    BOOST_TEST(!answers[2]->isPaused);
    BOOST_TEST(!answers[3]->isPaused);
    BOOST_TEST(held->bytes() < 1000u);
}

BOOST_AUTO_TEST_CASE(answers_overLimit_longestOfHeaviestEndpointIsGivenUp)
{
    Answer &sound = add("sound");
    receive(sound, 800);
    Answer &faulty = add("faulty");
    receive(faulty, 700);
    Answer &faultyToo = add("faulty");
    receive(faultyToo, 400);
    BOOST_TEST(!faulty.isGivenUp);
    receive(sound, 150);
    BOOST_TEST(faulty.isGivenUp);
    BOOST_TEST(!sound.isGivenUp);
    BOOST_TEST(held->bytes() == 1350u);
}

BOOST_AUTO_TEST_CASE(endpoint_sendsWithoutEndInManyAnswers_bytesStayBoundedAndOthersGoOn)
{
    std::vector<Answer *> endless;
    for (int i = 0; i < 200; ++i)
        endless.push_back(&add("faulty"));
    Answer &sound = add("sound");
    for (int round = 0; round < 100; ++round) {
        for (Answer *answer : endless)
            receive(*answer, 7);
        if (sound.bytes < 500)
            BOOST_TEST(receive(sound, 50));
        BOOST_TEST(held->bytes() <= options.limit + 50);
    }
    BOOST_TEST(sound.bytes == 500u);
    BOOST_TEST(!sound.isGivenUp);
}

BOOST_AUTO_TEST_CASE(answer_shrinks_othersAreResumed)
{
    Answer &slow = add("a");
    Answer &next = add("a");
    receive(slow, 900);
    receive(next, 200);
    BOOST_TEST(next.isPaused);
    slow.held->resize(10);
    BOOST_TEST(!next.isPaused);
}

BOOST_AUTO_TEST_CASE(answers_allEnd_nothingIsLeft)
{
    for (int i = 0; i < 10; ++i)
        receive(add(i % 2 == 0 ? "a" : "b"), 150);
    for (const auto &answer : all)
        answer->held.reset();
    BOOST_TEST(held->bytes() == 0u);
    BOOST_TEST(held->count() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
