// Self-contained HTML pages with SVG plots of values over the time of a run. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wasabicroft {

struct PlotPoint {
    double x = 0; // Seconds since the start of the run.
    double y = 0;
};

struct PlotLine {
    std::string name;
    std::vector<PlotPoint> points;
};

struct Plot {
    std::string title;
    std::string unit;
    std::vector<PlotLine> lines;
};

// An event that is drawn as a vertical line in every plot.
struct PlotMark {
    double seconds = 0; // Time since the start of the run.
    std::string text;
};

struct PlotPage {
    std::string title;
    std::string text; // Preformatted text above the plots.
    double seconds = 0; // Duration of the run.
    std::vector<Plot> plots;
    std::vector<PlotMark> marks;
};

std::string toHtml(const PlotPage&);

} // namespace wasabicroft
