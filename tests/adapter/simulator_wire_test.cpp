// Runs the simulator adapter on batches of messages.
#include <gtest/gtest.h>

#include <sstream>

#include "../installed/embed_example.h"
#include "session.h"

namespace silverrail::routing::adapter {
namespace {

const std::string kSettings =
    "balancers=2 classes.count=2 classes.0.name=tile classes.0.aim=250000000 classes.0.give-up=2500000000 "
    "classes.0.effect=pure classes.1.name=save classes.1.aim=800000000 classes.1.give-up=3000000000 "
    "classes.1.effect=token classes.1.group=all classes.1.window=3000000000 "
    "family-info.uncached=false,true "
    "zone=bay dcs=hub,bay kinds=cache,parent,origin family-info.second-tier-kind=1 family-info.origin-kind=2 "
    "allowed.try-limit=4 allowed.cancel=true family-info.bypass-allowed=true some.new-key=whatever";
const std::string kOpen =
    "BATCH 1000000000\nOPEN_INSTANCE gateway_0 7 " + kSettings +
    "\nROSTER 0 3\nROW ready 10.0.0.1:80 1 0 bay - cache\nROW ready 10.0.1.1:80 1 0 hub - parent\n"
    "ROW ready 10.0.2.1:80 1 0 hub - origin\nPEERS_KNOWN gateway_0 cached 1 0\nCOMMIT\n";

struct Run {
    int code;
    std::string out;
    std::string errors;
};
Run run(const std::string& input) {
    std::istringstream in{input};
    std::ostringstream out;
    std::ostringstream errors;
    const int code = serve(in, out, errors);
    return {code, out.str(), errors.str()};
}

TEST(SimulatorProtocol, RepliesToEmptyBatches) {
    const auto r = run("BATCH 1\nCOMMIT\n\nBATCH 2\nCOMMIT\n");
    EXPECT_EQ(r.code, 0);
    EXPECT_EQ(r.out, "YIELD\nYIELD\n");
    EXPECT_TRUE(r.errors.empty());
}

TEST(SimulatorProtocol, SendsRequestAndHandlesOutcome) {
    const auto r =
        run(kOpen +
            "BATCH 1002000000\nKNOCK gateway_0 5 11 00000000000000aa 3000000000 - 0 tile 0 0 -\nCOMMIT\n"
            "BATCH 1010000000\nSETTLED gateway_0 5 0 10.0.0.1:80 MISS 8000000 0 7 100 concurrent:7,x0:0.4\n"
            "COMMIT\n");
    EXPECT_EQ(r.code, 0) << r.errors;
    EXPECT_NE(r.out.find("GET gateway_0 5 10.0.0.1:80 0 10.0.1.1:80 0 0 0\n"), std::string::npos) << r.out;
    EXPECT_NE(r.out.find("GET gateway_0 5 10.0.0.1:80 0 10.0.2.1:80 0 0 0\n"), std::string::npos) << r.out;
}

TEST(SimulatorProtocol, SendsWriteDirectlyToOrigin) {
    const auto r =
        run(kOpen +
            "BATCH 1002000000\nKNOCK gateway_0 5 11 00000000000000aa 3000000000 - 1 save 0 0 -\nCOMMIT\n");
    EXPECT_NE(r.out.find("HAND_OFF gateway_0 5 10.0.2.1:80 0\n"), std::string::npos) << r.out;
}

TEST(SimulatorProtocol, PurgeLimitsCopyAge) {
    const auto r = run(kOpen +
                       "BATCH 1002000000\nSTRUCK_OUT gateway_0 - 11 85000000\n"
                       "KNOCK gateway_0 5 11 00000000000000aa 3000000000 - 0 tile 0 0 -\nCOMMIT\n");
    EXPECT_NE(r.out.find("GET gateway_0 5 10.0.0.1:80 0 10.0.1.1:80 0 85000000 0\n"), std::string::npos)
        << r.out;
}

TEST(SimulatorProtocol, RestartedInstanceHasNoState) {
    const auto r = run(
        kOpen +
        "BATCH 1002000000\nDESTROY gateway_0\nKNOCK gateway_0 5 11 00aa 3000000000 - 0 tile 0 0 -\nCOMMIT\n"
        "BATCH 1004000000\nOPEN_INSTANCE gateway_0 8 " +
        kSettings +
        "\nPEERS_KNOWN gateway_0 cached 1 0\nKNOCK gateway_0 6 11 00aa 3000000000 - 0 tile 0 0 -\nCOMMIT\n");
    EXPECT_EQ(r.code, 0) << r.errors;
    EXPECT_EQ(r.out.find(" 5 "), std::string::npos);
    EXPECT_NE(r.out.find("GET gateway_0 6 "), std::string::npos) << r.out;
}

TEST(SimulatorProtocol, SettingsErrorNamesKey) {
    for (const auto& [settings, key] :
         {std::pair{"classes.count=1 classes.0.name=a", "classes.0.aim"},
          std::pair{"zone=a", "classes.count"}, std::pair{"classes.count=0", "zone"},
          std::pair{"classes.count=x", "classes.count"},
          std::pair{"classes.count=0 zone=a weights=odd", "weights"},
          std::pair{"classes.count=0 zone=a allowed.cancel=maybe", "allowed.cancel"}}) {
        const auto r = run(std::string{"BATCH 1\nOPEN_INSTANCE gateway_3 7 "} + settings + "\nCOMMIT\n");
        EXPECT_EQ(r.code, 0);
        EXPECT_EQ(r.out.find("BROKEN gateway_3 setting "), 0u) << r.out;
        EXPECT_NE(r.out.find(key), std::string::npos) << r.out;
    }
}

TEST(SimulatorProtocol, MalformedInputIsReportedWithLineNumberAndGetsNoReply) {
    for (const auto& [message, expected_error] :
         {std::pair{"NOISE gateway_0 1", "unknown event 'NOISE'"},
          std::pair{"WAKE gateway_0 x", "expected a timer"},
          std::pair{"KNOCK gateway_0 5", "expected at least 8 values"},
          std::pair{"KNOCK gateway_0 5 1 zz 30 - 0 tile", "expected an object"},
          std::pair{"KNOCK gateway_0 5 1 aa 30 - 0 other", "expected a class"},
          std::pair{"SETTLED gateway_0 5 0 c ODD 1 0", "expected an attempt status"},
          std::pair{"PEERS_KNOWN gateway_0 full 1 9", "expected the number of a list"},
          std::pair{"ROSTER 1 1\nBAD", "expected ROW"}}) {
        const auto r = run(kOpen + "BATCH 2000000000\n" + message + "\nCOMMIT\n");
        EXPECT_NE(r.code, 0);
        EXPECT_EQ(r.out, "YIELD\n") << message;
        EXPECT_EQ(r.errors.find("line "), 0u);
        EXPECT_NE(r.errors.find(expected_error), std::string::npos) << r.errors;
    }
}

TEST(SimulatorProtocol, EndOfInputInsideBatchIsAnError) {
    const auto r = run("BATCH 1\nCOMMIT\nBATCH 2\n");
    EXPECT_NE(r.code, 0);
    EXPECT_EQ(r.out, "YIELD\n");
    EXPECT_NE(r.errors.find("line 3: input ended inside a batch"), std::string::npos) << r.errors;
}

TEST(SimulatorProtocol, SameEventsGiveSameActions) {
    std::string input = kOpen;
    for (int i = 0; i < 200; ++i)
        input += "BATCH " + std::to_string(1002000000 + i * 2000000) + "\nKNOCK gateway_0 " +
                 std::to_string(i) + " 3 00000000000000" + std::to_string(10 + i % 40) +
                 " 9000000000 - 0 tile 0 0 -\nCOMMIT\n";
    EXPECT_EQ(run(input).out, run(input).out);
}

TEST(EmbedExample, SendsToTheOnlyCache) {
    EXPECT_EQ(embed_example::first_target(), "10.0.0.1:80");
}

}  // namespace
}  // namespace silverrail::routing::adapter
