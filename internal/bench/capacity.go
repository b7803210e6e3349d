package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// cell is one figure of the capacity page: a slope at a size.
type cell struct {
	role string
	what string
	// slope names the measured slope; empty means not measured, for reason.
	slope  string
	reason string
	size   float64
	sizeOf string
	// perSize leaves the line's base out: the cost that the size adds.
	perSize bool
	// limit is the bound in the slope's unit; 0 means none is stated.
	limit     float64
	mechanism string
}

func declareCapacity(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("capacity", "Print the tables of docs/CAPACITY.md from slopes.")
	file := cmd.Flag("slopes", "File of slope lines.").Required().ExistingFile()
	return cmd.FullCommand(), func(context.Context) error {
		slopes, err := readSlopes(*file)
		if err != nil {
			return err
		}
		writeSlopeTable(e.out, slopes)
		writeRoleTables(e.out, slopes)
		return nil
	}
}

func readSlopes(file string) (map[string]Slope, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "give a readable file", "reading slopes")
	}
	defer f.Close()
	slopes := map[string]Slope{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var s Slope
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "give the lines of slopes and fit", "reading slopes")
		}
		slopes[s.Name] = s
	}
	return slopes, lines.Err()
}

// writeRoleTables writes a table for each role.
func writeRoleTables(w io.Writer, slopes map[string]Slope) {
	role := ""
	for _, c := range cells {
		if c.role != role {
			role = c.role
			fmt.Fprintf(w, "\n### %s\n\n", role)
			fmt.Fprintln(w, "| what | size | at that size | limit | fits | slope | mechanism |")
			fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
		}
		fmt.Fprintln(w, c.row(slopes))
	}
}

// row is the cell's line of the table.
func (c cell) row(slopes map[string]Slope) string {
	s, ok := slopes[c.slope]
	if !ok {
		reason := c.reason
		if reason == "" {
			reason = "no run of " + c.slope
		}
		return fmt.Sprintf("| %s | %s | not measured: %s | %s | | | %s |", c.what, c.sizeOf, reason, c.limitText(""), c.mechanism)
	}
	value := s.At(c.size)
	if c.perSize {
		value = s.PerSize * c.size
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | `%s` | %s |",
		c.what, c.sizeOf, quantity(value, s.Unit), c.limitText(s.Unit), c.fits(value), c.slope, c.mechanism)
}

func (c cell) limitText(unit string) string {
	if c.limit == 0 {
		return "none stated"
	}
	return quantity(c.limit, unit)
}

func (c cell) fits(value float64) string {
	switch {
	case c.limit == 0:
		return ""
	case value > c.limit:
		return fmt.Sprintf("**no**, %.1f times over", value/c.limit)
	}
	return fmt.Sprintf("yes, %.0f%% used", 100*max(value, 0)/c.limit)
}

// quantity formats a value with its unit, bytes scaled.
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
