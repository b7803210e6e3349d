package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// point is one value of a sample line.
type point struct{ size, value float64 }

// sampleUnits gives the unit of each number in a sample line, by its JSON name.
var sampleUnits = map[string]string{
	"core_percent":            "% of a core",
	"rss_bytes":               "bytes",
	"heap_bytes":              "bytes",
	"control_in_bytes_per_s":  "bytes/s",
	"control_out_bytes_per_s": "bytes/s",
	"work_in_bytes_per_s":     "bytes/s",
	"work_out_bytes_per_s":    "bytes/s",
	"reads_per_s":             "calls/s",
	"writes_per_s":            "calls/s",
	"watches_per_s":           "calls/s",
}

func declareFit(app *kingpin.Application, e env) (string, command) {
	cmd := app.Command("fit", "Fit slopes to the lines of sample and calls on standard input.")
	return cmd.FullCommand(), func(context.Context) error {
		slopes, err := fitSamples(os.Stdin)
		if err != nil {
			return err
		}
		for _, s := range slopes {
			if err := e.print(s); err != nil {
				return err
			}
		}
		return nil
	}
}

// fitSamples fits a slope to each measured number of each name. Lines that are
// slopes already are returned unchanged.
func fitSamples(in io.Reader) ([]Slope, error) {
	points := map[string][]point{}
	var slopes []Slope
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var s Slope
		if err := json.Unmarshal(lines.Bytes(), &s); err == nil && s.Name != "" {
			slopes = append(slopes, s)
			continue
		}
		if err := addPoints(points, lines.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "give JSON lines", "reading sample lines")
	}
	fitted, err := fitPoints(points)
	return append(slopes, fitted...), err
}

// addPoints adds a sample line's numbers to points, by the sample's name
// and the number's JSON name, joined by a dot.
func addPoints(points map[string][]point, line []byte) error {
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		return fault.Wrap(fault.Invalid, err, "give the lines of the commands sample and calls", "line is not JSON: %.80s", line)
	}
	name, _ := fields["name"].(string)
	size, _ := fields["size"].(float64)
	for metric := range sampleUnits {
		if value, ok := fields[metric].(float64); ok {
			key := name + "." + metric
			points[key] = append(points[key], point{size, value})
		}
	}
	return nil
}

// fitPoints fits a slope to each list of points and sorts the slopes by name.
func fitPoints(points map[string][]point) ([]Slope, error) {
	var slopes []Slope
	for key, list := range points {
		var sizes, values []float64
		for _, p := range list {
			sizes = append(sizes, p.size)
			values = append(values, p.value)
		}
		metric := key[strings.LastIndexByte(key, '.')+1:]
		s, err := Fit(key, sampleUnits[metric], sizes, values)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, s)
	}
	slices.SortFunc(slopes, func(a, b Slope) int { return strings.Compare(a.Name, b.Name) })
	return slopes, nil
}
