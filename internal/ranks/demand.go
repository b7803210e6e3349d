package ranks

import (
	"math"
	"time"
)

// demandMemory is the time constant at which demand is forgotten: twice the
// interval of the readings. A reading holds thousands of choices an expert, so
// that demand that has shifted matters more than noise.
const demandMemory = 400 * time.Millisecond

// Demand estimates how often a group's requests choose each expert now, from
// the ranks' running counts. The zero value has seen nothing.
type Demand struct {
	last map[int]Counts
	at   time.Time
	load []float64
}

// Add takes the counts of some ranks. Counts of another epoch begin anew.
func (d *Demand) Add(counts map[int]Counts, now time.Time) {
	if d.last == nil {
		d.last = map[int]Counts{}
	}
	fade := math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
	d.at = now
	for i := range d.load {
		d.load[i] *= fade
	}
	for rank, c := range counts {
		d.addRank(rank, c)
	}
}

func (d *Demand) addRank(rank int, c Counts) {
	old, known := d.last[rank]
	d.last[rank] = c
	if !known || len(old.Chosen) != len(c.Chosen) || c.Step < old.Step {
		return
	}
	if len(d.load) != len(c.Chosen) {
		d.load = make([]float64, len(c.Chosen))
	}
	for i, n := range c.Chosen {
		if n < old.Chosen[i] {
			return // the engine has started again
		}
	}
	for i, n := range c.Chosen {
		d.load[i] += float64(n - old.Chosen[i])
	}
}

// Set returns the load of each expert of a set, nil while nothing was seen.
func (d *Demand) Set(set, experts int) []float64 {
	if (set+1)*experts > len(d.load) {
		return nil
	}
	return d.load[set*experts : (set+1)*experts]
}
