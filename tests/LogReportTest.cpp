// Tests the report from log lines, with which operators trace failed requests.
#include "wasabicroft/LogReport.h"

#include <gtest/gtest.h>

namespace wasabicroft::tests {
namespace {

    constexpr std::string_view offered
        = "2026-12-04T11:08:55.512149Z info event=4201 name=packet-flow-offered process=entry-1 "
          "flow=10.0.0.3:1061>198.18.0.1:445 cause=open load-age-ms=227";

    std::string lineAt(std::string_view time, int event, std::string_view process, std::string_view rest = "")
    {
        return "2026-12-04T" + std::string(time) + "Z info event=" + std::to_string(event)
            + " name=x process=" + std::string(process) + ' ' + std::string(rest);
    }

    TEST(LogReport, TextBeforeTheTimeIsIgnored)
    {
        const std::optional<LogLine> line = parseLogLine("  38.8176 front-a-1 " + std::string(offered));
        ASSERT_TRUE(line);
        EXPECT_EQ(line->event, 4201);
        EXPECT_EQ(line->process, "entry-1");
        EXPECT_EQ(line->field("flow"), "10.0.0.3:1061>198.18.0.1:445");
        EXPECT_EQ(line->number("load-age-ms"), 227);
        EXPECT_EQ(line->text, offered);
    }

    TEST(LogReport, ValuesInQuotesMayHoldSpaces)
    {
        const std::optional<LogLine> line
            = parseLogLine(lineAt("11:08:55.5", 3023, "entry-1", R"(reason="HTTP status 503" topic=routes)"));
        ASSERT_TRUE(line);
        EXPECT_EQ(line->field("reason"), R"("HTTP status 503")");
        EXPECT_EQ(line->field("topic"), "routes");
    }

    // Guards against a report that fails on text that other programs write into the same file.
    TEST(LogReport, OtherTextIsNotALogLine)
    {
        LogReport report;
        for (const char* text : { "", " ", "built in 0.1 s", "2026-12-04T11:08:55.512149Z",
                 "2026-13-44T11:08:55.5Z event=1", "event=4201", "2026-12-04T11:08:55.512149Z event=x" })
            EXPECT_FALSE(report.add(text)) << text;
        EXPECT_EQ(report.lines(), 0U);
        EXPECT_EQ(report.suppressed(), 0U);
        EXPECT_NE(toHtml(report.page("empty")).find("</html>"), std::string::npos);
    }

    // Guards against a trace with lines of other flows, or with lines of different processes out of order.
    TEST(LogReport, ThePathOfAFlowIsOrderedByTimeAcrossProcesses)
    {
        LogReport report;
        report.add(lineAt("11:00:02.000000", 4207, "agent-0", "flow=a>b outcome=none"));
        report.add(lineAt("11:00:01.000000", 4201, "entry-0", "flow=a>b"));
        report.add(lineAt("11:00:01.500000", 4201, "entry-0", "flow=c>d"));
        const std::vector<std::string> path = report.linesOfFlow("a>b");
        ASSERT_EQ(path.size(), 2U);
        EXPECT_EQ(path[0].substr(0, 4), "0.00");
        EXPECT_NE(path[1].find("outcome=none"), std::string::npos);
    }

    // Guards against a page on which a restart of all processes cannot be told from single starts.
    TEST(LogReport, SimultaneousStartsAreMergedIntoOneMark)
    {
        LogReport report;
        for (int i = 0; i < 7; ++i)
            report.add(lineAt("11:00:36.90000" + std::to_string(i), 1001, "entry-" + std::to_string(i)));
        report.add(lineAt("11:01:00.000000", 1001, "entry-3"));
        report.add(lineAt("11:01:01.000000", 5003, "entry-3", "limit=400 lines=25"));
        const PlotPage page = report.page("run");
        ASSERT_EQ(page.marks.size(), 3U);
        EXPECT_EQ(page.marks[0].text, "entry-started: 7 times");
        EXPECT_EQ(page.marks[1].text, "entry-started: entry-3");
        EXPECT_EQ(report.suppressed(), 25U);
        EXPECT_NE(report.summary().find("1001 entry-started: 8"), std::string::npos) << report.summary();
    }

    TEST(LogReport, ThePlotsCountLinesPerSecond)
    {
        LogReport report;
        report.add(lineAt("11:00:00.000000", 4201, "entry-0", "flow=a>b load-age-ms=10"));
        report.add(lineAt("11:00:02.100000", 4201, "entry-0", "flow=a>c load-age-ms=-1"));
        report.add(lineAt("11:00:02.200000", 4201, "entry-0", "flow=a>d load-age-ms=30"));
        report.add(lineAt("11:00:02.300000", 4207, "agent-0", "flow=a>d waiting=5"));
        const PlotPage page = report.page("run");
        ASSERT_EQ(page.plots.size(), 4U);
        const std::vector<PlotPoint>& flows = page.plots[0].lines[0].points;
        ASSERT_EQ(flows.size(), 3U);
        EXPECT_EQ(flows[0].y, 1);
        EXPECT_EQ(flows[1].y, 0);
        EXPECT_EQ(flows[2].y, 2);
        EXPECT_EQ(page.plots[2].lines[0].points[2].y, 5);
        EXPECT_EQ(page.plots[3].lines[0].points[2].y, 30);
    }

} // namespace
} // namespace wasabicroft::tests
