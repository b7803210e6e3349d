package planner

const (
	// levelGain and trendGain are the smoothing factors: the weights of the
	// newest row in the level and in the trend of an expert's load.
	levelGain = 0.5
	trendGain = 0.1
	// trendDamping is the factor by which the trend shrinks with each row
	// ahead.
	trendDamping = 0.8
)

// Forecast predicts each expert's share of the total load from past rows, by
// exponential smoothing with a damped trend. The zero value has no rows.
type Forecast struct {
	level, trend []float64
}

// AddRow adds a row: the tokens of each expert in one window.
func (f *Forecast) AddRow(row []float64) {
	total := 0.0
	for _, v := range row {
		total += v
	}
	if f.level == nil {
		f.level = make([]float64, len(row))
		f.trend = make([]float64, len(row))
		if total <= 0 {
			total = 1
		}
		for e, v := range row {
			f.level[e] = v / total
		}
		return
	}
	if total <= 0 {
		return
	}
	for e, v := range row {
		predicted := f.level[e] + trendDamping*f.trend[e]
		level := predicted + levelGain*(v/total-predicted)
		f.trend[e] = trendDamping*f.trend[e] + trendGain*(level-f.level[e]-trendDamping*f.trend[e])
		f.level[e] = level
	}
}

// Predict returns the mean predicted load of each expert over the next rows, as
// a fraction of the total load.
func (f *Forecast) Predict(rows int) []float64 {
	meanDamping, damping := 0.0, 1.0
	dampingSum := 0.0
	for range rows {
		damping *= trendDamping
		dampingSum += damping
		meanDamping += dampingSum / float64(rows)
	}
	out := make([]float64, len(f.level))
	for e := range out {
		out[e] = max(f.level[e]+meanDamping*f.trend[e], 0)
	}
	return out
}
