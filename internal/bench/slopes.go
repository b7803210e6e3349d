package bench

import "github.com/kingcupreel/kingcupreel/internal/fault"

// Slope is a straight line fitted to values measured at several sizes.
type Slope struct {
	Name   string    `json:"slope"`
	Unit   string    `json:"unit"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	// Base is the line's value at size 0, PerSize its gradient, FitR2 the
	// coefficient of determination.
	Base    float64 `json:"base"`
	PerSize float64 `json:"per_size"`
	FitR2   float64 `json:"fit_r2"`
}

// ValueAt returns the line's value at a size.
func (s Slope) ValueAt(size float64) float64 { return s.Base + s.PerSize*size }

// Fit fits a line by least squares. It returns an Invalid fault unless there are
// at least two different sizes.
func Fit(name, unit string, sizes, values []float64) (Slope, error) {
	s := Slope{Name: name, Unit: unit, Sizes: sizes, Values: values}
	n := float64(len(sizes))
	if len(sizes) != len(values) || n < 2 {
		return s, fault.New(fault.Invalid, "measure at two or more sizes", "slope %s has %d sizes and %d values", name, len(sizes), len(values))
	}
	var sumX, sumY, sumXX, sumXY, sumYY float64
	for i, x := range sizes {
		y := values[i]
		sumX, sumY = sumX+x, sumY+y
		sumXX, sumXY, sumYY = sumXX+x*x, sumXY+x*y, sumYY+y*y
	}
	spreadX := n*sumXX - sumX*sumX
	spreadY := n*sumYY - sumY*sumY
	if spreadX == 0 {
		return s, fault.New(fault.Invalid, "measure at two or more different sizes", "slope %s has one size only", name)
	}
	cross := n*sumXY - sumX*sumY
	s.PerSize = cross / spreadX
	s.Base = (sumY - s.PerSize*sumX) / n
	if spreadY == 0 {
		s.FitR2 = 1
		return s, nil
	}
	s.FitR2 = cross * cross / (spreadX * spreadY)
	return s, nil
}
