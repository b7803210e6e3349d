package bench

import (
	"encoding/csv"
	"io"
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Trace is the number of tokens routed to each expert, one row per step window.
type Trace struct {
	Rows [][]float64
	// Quiet marks the rows inside a quiet window.
	Quiet []bool
}

// ReadTrace reads a CSV file with one row per step window and one column per
// expert. It skips the first row as a header if it can't be parsed as token counts.
func ReadTrace(r io.Reader) (Trace, error) {
	records, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return Trace{}, fault.Wrap(fault.Invalid, err, "give a CSV file with one column per expert", "reading the trace")
	}
	var t Trace
	for i, record := range records {
		row, err := parseRow(record)
		if err != nil {
			if i == 0 {
				continue
			}
			return Trace{}, fault.Wrap(fault.Invalid, err, "give tokens as non-negative numbers", "invalid row %d of the trace", i+1)
		}
		t.Rows = append(t.Rows, row)
		t.Quiet = append(t.Quiet, false)
	}
	if len(t.Rows) < 2 {
		return Trace{}, fault.New(fault.Invalid, "give one row for the initial map and at least one to evaluate", "the trace has %d rows; at least 2 are needed", len(t.Rows))
	}
	return t, nil
}

// parseRow parses the token counts of one row.
func parseRow(record []string) ([]float64, error) {
	row := make([]float64, len(record))
	for e, field := range record {
		v, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return nil, err
		}
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil, fault.New(fault.Invalid, "give a non-negative number", "column %d is %q", e+1, field)
		}
		row[e] = v
	}
	return row, nil
}

// WriteTrace writes a trace as CSV.
func WriteTrace(w io.Writer, t Trace) error {
	out := csv.NewWriter(w)
	for _, row := range t.Rows {
		record := make([]string, len(row))
		for e, v := range row {
			record[e] = strconv.FormatFloat(v, 'f', -1, 64)
		}
		if err := out.Write(record); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// Load names a kind of generated load.
type Load string

// The generated loads. In all of them, an expert's base popularity is the inverse
// square root of its position in a random order, and the token counts have
// sampling noise.
const (
	// LoadDrift changes each expert's popularity by an independent random walk.
	LoadDrift Load = "drift"
	// LoadExam adds exam dates: the experts of one subject get examSurgeFactor
	// times the load for examLength rows, inside a quiet window.
	LoadExam Load = "exam"
	// LoadSeason moves the load gradually from one set of experts to the next,
	// with one sudden change of the mix after half a period.
	LoadSeason Load = "season"
)

const (
	// rowTokens is the number of tokens routed in a row.
	rowTokens = 4e6
	// driftStdDev is the standard deviation of a row's change of the logarithm of
	// a popularity; driftReversion is the fraction of the deviation from the base
	// that is undone in each row.
	driftStdDev    = 0.03
	driftReversion = 0.01

	// examPeriod, examLength and examQuietLead are in rows: the time between two
	// exams, the length of an exam, and the time by which the quiet window starts
	// before it.
	examPeriod      = 100
	examLength      = 20
	examQuietLead   = 5
	examSubjects    = 4
	examSurgeFactor = 3.0

	// seasonPeriod is in rows; seasonAmplitude is that of the logarithm of a
	// popularity.
	seasonPeriod    = 300
	seasonGroups    = 4
	seasonAmplitude = 0.8
)

// Generate returns a load of the given kind. The same seed gives the same load.
func Generate(kind Load, seed uint64, rows, experts int) (Trace, error) {
	g := &generator{rand: rand.New(rand.NewPCG(seed, seed+1)), basePopularity: make([]float64, experts), logDrift: make([]float64, experts), expertGroup: make([]int, experts)}
	for e, position := range g.rand.Perm(experts) {
		g.basePopularity[e] = 1 / math.Sqrt(float64(position+1))
		g.expertGroup[e] = g.rand.IntN(seasonGroups)
	}
	factor := map[Load]func(row, e int) float64{LoadDrift: g.driftFactor, LoadExam: g.examFactor, LoadSeason: g.seasonFactor}[kind]
	if factor == nil {
		return Trace{}, fault.New(fault.Invalid, "use drift, exam or season", "unknown kind of load %q", kind)
	}
	var t Trace
	for row := range rows {
		g.updateDrift()
		t.Rows = append(t.Rows, g.row(func(e int) float64 { return factor(row, e) }))
		rowInPeriod := row % examPeriod
		quiet := kind == LoadExam && rowInPeriod >= examPeriod-examLength-examQuietLead
		t.Quiet = append(t.Quiet, quiet)
	}
	return t, nil
}

// generator generates the rows of a load. Slices are indexed by expert.
type generator struct {
	rand           *rand.Rand
	basePopularity []float64
	logDrift       []float64
	expertGroup    []int
}

// updateDrift advances the random walk of all popularities by one row.
func (g *generator) updateDrift() {
	for e := range g.logDrift {
		g.logDrift[e] += driftStdDev*g.rand.NormFloat64() - driftReversion*g.logDrift[e]
	}
}

// row draws the tokens of each expert, with sampling noise.
func (g *generator) row(factor func(e int) float64) []float64 {
	weights := make([]float64, len(g.basePopularity))
	sum := 0.0
	for e := range weights {
		weights[e] = g.basePopularity[e] * factor(e)
		sum += weights[e]
	}
	for e := range weights {
		mean := rowTokens * weights[e] / sum
		weights[e] = math.Round(max(mean+math.Sqrt(mean)*g.rand.NormFloat64(), 0))
	}
	return weights
}

// driftFactor, examFactor and seasonFactor return the factor on an expert's base
// popularity in a row.
func (g *generator) driftFactor(_, e int) float64 { return math.Exp(g.logDrift[e]) }

func (g *generator) examFactor(row, e int) float64 {
	subject := row / examPeriod % examSubjects
	if row%examPeriod < examPeriod-examLength || g.expertGroup[e] != subject {
		return math.Exp(g.logDrift[e])
	}
	return examSurgeFactor * math.Exp(g.logDrift[e])
}

func (g *generator) seasonFactor(row, e int) float64 {
	phase := float64(row)/seasonPeriod + float64(g.expertGroup[e])/seasonGroups
	if row >= seasonPeriod/2 {
		phase += 0.25
	}
	return math.Exp(g.logDrift[e] + seasonAmplitude*math.Sin(2*math.Pi*phase))
}
