package planner

const (
	// levelGain and trendGain are the weights of the newest row in the level
	// and in the trend of an expert's load.
	levelGain = 0.5
	trendGain = 0.1
	// trendDamping shrinks the trend with each row ahead.
	trendDamping = 0.8
)

// Forecast predicts each expert's part of the load from the rows seen, by
// exponential smoothing with a damped trend. The zero value has seen nothing.
type Forecast struct {
	level, trend []float64
}

// AddRow takes in a row: the tokens of each expert.
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
// parts of the whole.
func (f *Forecast) Predict(rows int) []float64 {
	steps, weight := 0.0, 1.0
	sum := 0.0
	for range rows {
		weight *= trendDamping
		sum += weight
		steps += sum / float64(rows)
	}
	out := make([]float64, len(f.level))
	for e := range out {
		out[e] = max(f.level[e]+steps*f.trend[e], 0)
	}
	return out
}
