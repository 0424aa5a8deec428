// Adds machines to a deployment that has run for longer than the store keeps its history.

#include "quota_trial.hpp"

int main(int, char **arguments)
{
    review::elapsedMs();
    review::QuotaScenario scenario;
    scenario.keepSeconds = 20; // "20 s of history".
    scenario.quietMs = 26000;
    scenario.added = 3; // The spare machines of the site.
    review::QuotaTrial trial(scenario, arguments[1]);
    const int result = trial.run();
    trial.end();
    _exit(result);
}
