package capacity

import (
	"fmt"
	"strconv"
	"strings"
)

// Blocks returns the text of the page's generated blocks by name.
func Blocks() map[string]string {
	blocks := map[string]string{"slopes": seriesMarkdown(), "figures": measurementsMarkdown()}
	for _, table := range Tables() {
		blocks[table.Name] = table.markdown()
	}
	return blocks
}

func (t Table) markdown() string {
	var b strings.Builder
	b.WriteString("| number | value | limit | fits | carried by | would make it fit |\n|---|---|---|---|---|---|\n")
	for _, row := range t.Rows {
		limit, fits := "", ""
		if row.HasLimit {
			limit, fits = formatNumber(row.Limit), "yes"
		}
		remedy := ""
		if !row.Fits() {
			fits, remedy = "**no**", row.Remedy
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", row.Name, formatNumber(row.Value), limit, fits, row.Mechanism, remedy)
	}
	return b.String()
}

func seriesMarkdown() string {
	var b strings.Builder
	b.WriteString("| measured | sizes | values | slope | base | R² | command |\n|---|---|---|---|---|---|---|\n")
	for _, series := range AllSeries {
		fit := series.Fit()
		fmt.Fprintf(&b, "| %s | %s %s | %s | %s | %s | %.3f | `%s` |\n",
			series.Name, formatList(series.Sizes), series.SizeUnit, formatList(series.Values), formatNumber(fit.Slope), formatNumber(fit.Intercept), fit.R2, series.Command)
	}
	return b.String()
}

func measurementsMarkdown() string {
	var b strings.Builder
	b.WriteString("| measured | value | command |\n|---|---|---|\n")
	for _, measurement := range Measurements {
		fmt.Fprintf(&b, "| %s | %s | `%s` |\n", measurement.Name, formatNumber(measurement.Value), measurement.Command)
	}
	return b.String()
}

func formatList(values []float64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = strconv.FormatFloat(v, 'g', 5, 64)
	}
	return strings.Join(texts, ", ")
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(roundToThreeDigits(v), 'g', 6, 64)
}

// BlockStart returns the mark before the block with a name.
func BlockStart(name string) string { return "<!-- capacity " + name + " -->\n" }

// BlockEnd is the mark after each block.
const BlockEnd = "<!-- end -->\n"

// UpdateBlocks returns the page with the current text of every block. It fails if
// the page lacks a block.
func UpdateBlocks(page string) (string, error) {
	for name, text := range Blocks() {
		before, rest, found := strings.Cut(page, BlockStart(name))
		_, after, ended := strings.Cut(rest, BlockEnd)
		if !found || !ended {
			return "", fmt.Errorf("capacity: the page has no block %q", name)
		}
		page = before + BlockStart(name) + text + BlockEnd + after
	}
	return page, nil
}
