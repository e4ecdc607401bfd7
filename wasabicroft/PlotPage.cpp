#include "wasabicroft/PlotPage.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace wasabicroft {

namespace {

    constexpr double plotWidth = 860; // Sizes are in pixels.
    constexpr double plotHeight = 220;
    constexpr double marginLeft = 60;
    constexpr double marginTop = 20;
    constexpr double marginBottom = 24;
    constexpr std::array<const char*, 6> colours = { "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b" };

    std::string escaped(std::string_view text)
    {
        std::string out;
        for (const char c : text) {
            if (c == '<')
                out += "&lt;";
            else if (c == '>')
                out += "&gt;";
            else if (c == '&')
                out += "&amp;";
            else
                out += c;
        }
        return out;
    }

    double largestValue(const Plot& plot)
    {
        double largest = 0;
        for (const PlotLine& line : plot.lines)
            for (const PlotPoint& point : line.points)
                largest = std::max(largest, point.y);
        return largest > 0 ? largest : 1;
    }

    // Maps time and values to pixel coordinates.
    struct Scale {
        double seconds = 1;
        double largest = 1;

        double x(double at) const { return marginLeft + plotWidth * at / this->seconds; }
        double y(double value) const { return marginTop + plotHeight * (1 - value / this->largest); }
    };

    void drawAxes(std::ostream& out, const Scale& scale, const std::string& unit)
    {
        constexpr int steps = 4;
        for (int i = 0; i <= steps; ++i) {
            const double fraction = static_cast<double>(i) / steps;
            const double y = scale.y(fraction * scale.largest);
            out << "<line class='grid' x1='" << marginLeft << "' x2='" << marginLeft + plotWidth << "' y1='" << y
                << "' y2='" << y << "'/><text x='" << marginLeft - 6 << "' y='" << y + 4 << "' text-anchor='end'>"
                << fraction * scale.largest << "</text>";
            const double x = scale.x(fraction * scale.seconds);
            out << "<text x='" << x << "' y='" << marginTop + plotHeight + 16 << "' text-anchor='middle'>"
                << fraction * scale.seconds << " s</text>";
        }
        out << "<text x='4' y='12'>" << escaped(unit) << "</text>\n";
    }

    void drawMarks(std::ostream& out, const Scale& scale, const std::vector<PlotMark>& marks)
    {
        for (const PlotMark& mark : marks) {
            const double x = scale.x(mark.seconds);
            out << "<line class='mark' x1='" << x << "' x2='" << x << "' y1='" << marginTop << "' y2='"
                << marginTop + plotHeight << "'><title>" << escaped(mark.text) << "</title></line><text x='" << x + 3
                << "' y='" << marginTop + 10 << "'>" << escaped(mark.text) << "</text>\n";
        }
    }

    void drawLegend(std::ostream& out, const Plot& plot)
    {
        out << "<p>";
        for (size_t i = 0; i < plot.lines.size(); ++i)
            out << "<span style='color:" << colours.at(i % colours.size()) << "'>&#9632; "
                << escaped(plot.lines[i].name) << "</span> ";
        out << "</p>\n";
    }

    void drawPlot(std::ostream& out, const Plot& plot, const PlotPage& page)
    {
        const Scale scale { std::max(page.seconds, 1.0), largestValue(plot) * 1.05 };
        out << "<h2>" << escaped(plot.title) << "</h2>\n";
        drawLegend(out, plot);
        out << "<svg width='" << marginLeft + plotWidth + 20 << "' height='" << marginTop + plotHeight + marginBottom
            << "'>\n";
        drawAxes(out, scale, plot.unit);
        for (size_t i = 0; i < plot.lines.size(); ++i) {
            out << "<polyline fill='none' stroke='" << colours.at(i % colours.size()) << "' points='";
            for (const PlotPoint& point : plot.lines[i].points)
                out << scale.x(point.x) << ',' << scale.y(point.y) << ' ';
            out << "'/>\n";
        }
        drawMarks(out, scale, page.marks);
        out << "</svg>\n";
    }

} // namespace

std::string toHtml(const PlotPage& page)
{
    std::ostringstream out;
    out << std::setprecision(4);
    out << "<!DOCTYPE html>\n<html lang='en'><head><meta charset='utf-8'><title>" << escaped(page.title)
        << "</title><style>body{font:14px sans-serif;margin:2em}text{font:11px sans-serif}"
           "pre{overflow-x:auto}.grid{stroke:#ddd}.mark{stroke:#d62728;stroke-dasharray:4 "
           "3}polyline{stroke-width:1.5}</style></head>\n"
        << "<body><h1>" << escaped(page.title) << "</h1>\n<pre>" << escaped(page.text) << "</pre>\n";
    for (const Plot& plot : page.plots)
        drawPlot(out, plot, page);
    out << "</body></html>\n";
    return out.str();
}

} // namespace wasabicroft
