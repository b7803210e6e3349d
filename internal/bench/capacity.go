package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// cell is one row of the capacity page's tables. Its value is the sum of its
// terms.
type cell struct {
	role  string
	label string
	// terms are empty for a value that isn't measured; notMeasured says why.
	terms       []term
	notMeasured string
	sizeText    string
	// unit is the unit of the sum and of limit.
	unit string
	// limit is the stated upper bound; 0 means that there is none.
	limit     float64
	mechanism string
}

// term is a slope's value at a size, times factor; a factor of 0 means 1.
type term struct {
	slope  string
	size   float64
	factor float64
	// omitBase leaves out the line's base, which gives only what the size adds.
	omitBase bool
}

// value returns the term's value, or false if the slope wasn't measured.
func (t term) value(slopes map[string]Slope) (float64, bool) {
	s, ok := slopes[t.slope]
	v := s.ValueAt(t.size)
	if t.omitBase {
		v = s.PerSize * t.size
	}
	if t.factor != 0 {
		v *= t.factor
	}
	return v, ok
}

// The marker lines of the page before and after the generated tables.
const (
	tablesStartMarker = "<!-- tables: made by make capacity -->\n"
	tablesEndMarker   = "<!-- end of tables -->\n"
)

func declareCapacity(app *kingpin.Application, _ env) (string, command) {
	cmd := app.Command("capacity", "Generate the tables of docs/CAPACITY.md from slopes.")
	file := cmd.Flag("slopes", "File of slope lines.").Required().ExistingFile()
	page := cmd.Flag("page", "Page whose tables are replaced.").Required().ExistingFile()
	return cmd.FullCommand(), func(context.Context) error {
		slopes, err := readSlopes(*file)
		if err != nil {
			return err
		}
		var tables strings.Builder
		writeRoleTables(&tables, slopes)
		writeSlopeTable(&tables, slopes)
		return replaceTables(*page, tables.String())
	}
}

// replaceTables replaces the text between the two marker lines of the page.
func replaceTables(page, tables string) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "name a readable file", "reading the page")
	}
	before, rest, startFound := strings.Cut(string(data), tablesStartMarker)
	_, after, endFound := strings.Cut(rest, tablesEndMarker)
	if !startFound || !endFound {
		return fault.New(fault.Invalid, "put the two marker lines into the page", "%s lacks the marker lines of the tables", page)
	}
	text := before + tablesStartMarker + tables + "\n" + tablesEndMarker + after
	if err := os.WriteFile(page, []byte(text), 0o644); err != nil {
		return fault.Wrap(fault.Invalid, err, "make the page writable", "writing the page")
	}
	return nil
}

// readSlopes reads a file of slope lines. If a name occurs several times, the last
// line is used.
func readSlopes(file string) (map[string]Slope, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "name a readable file", "reading slopes")
	}
	defer f.Close()
	slopes := map[string]Slope{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var s Slope
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "give the lines of the commands slopes and fit", "reading slopes")
		}
		slopes[s.Name] = s
	}
	return slopes, lines.Err()
}

// writeRoleTables writes one table per role.
func writeRoleTables(w io.Writer, slopes map[string]Slope) {
	role := ""
	for _, c := range cells {
		if c.role != role {
			role = c.role
			fmt.Fprintf(w, "\n### %s\n\n", role)
			fmt.Fprintln(w, "| what | size | at that size | limit | fits | slope | mechanism |")
			fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
		}
		fmt.Fprintln(w, c.tableRow(slopes))
	}
}

// tableRow returns the cell's line of the table.
func (c cell) tableRow(slopes map[string]Slope) string {
	value, missing := c.value(slopes)
	if missing != "" {
		return fmt.Sprintf("| %s | %s | not measured: %s | %s | | | %s |", c.label, c.sizeText, missing, c.limitText(), c.mechanism)
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s |",
		c.label, c.sizeText, quantity(value, c.unit), c.limitText(), c.fitsText(value), c.slopeNames(), c.mechanism)
}

// value returns the sum of the terms; if there is none, missing is the reason.
func (c cell) value(slopes map[string]Slope) (sum float64, missing string) {
	if len(c.terms) == 0 {
		return 0, c.notMeasured
	}
	for _, t := range c.terms {
		v, ok := t.value(slopes)
		if !ok {
			return 0, "no run of " + t.slope
		}
		sum += v
	}
	return sum, ""
}

func (c cell) slopeNames() string {
	names := make([]string, 0, len(c.terms))
	for _, t := range c.terms {
		names = append(names, "`"+t.slope+"`")
	}
	return strings.Join(names, ", ")
}

func (c cell) limitText() string {
	if c.limit == 0 {
		return "none stated"
	}
	return quantity(c.limit, c.unit)
}

// fitsText returns the text about whether the value is within the limit; it is
// empty without a limit.
func (c cell) fitsText(value float64) string {
	switch {
	case c.limit == 0:
		return ""
	case value > c.limit:
		return fmt.Sprintf("**no**, %.1f times over", value/c.limit)
	}
	return fmt.Sprintf("yes, %.0f%% used", 100*max(value, 0)/c.limit)
}

// quantity formats a value with its unit. Bytes are scaled to kB or MB.
func quantity(v float64, unit string) string {
	const kilo, mega = 1e3, 1e6
	scaled := unit == "bytes" || unit == "bytes/s"
	switch {
	case scaled && v >= mega:
		return fmt.Sprintf("%.3g M%s", v/mega, unit)
	case scaled && v >= kilo:
		return fmt.Sprintf("%.3g k%s", v/kilo, unit)
	}
	return fmt.Sprintf("%.3g %s", v, unit)
}
