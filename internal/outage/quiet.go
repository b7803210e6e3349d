package outage

import "time"

const (
	// quietTime is the time without a report from any upstream of a data centre after which
	// nothing is expected from it.
	quietTime = 300 * time.Millisecond
	// minMissedReports is the number of reports that are due in that time from a data centre
	// that counts as quiet: reports are lost, and come unevenly.
	minMissedReports = 10
	// quietIntervals is the number of half mean intervals between two reports of an upstream
	// that have to pass as well.
	quietIntervals = 3
	// freshTime is the age of a report up to which this process is known to receive.
	freshTime = 150 * time.Millisecond
)

// DataCentre is what is heard from the upstreams of one data centre.
type DataCentre struct {
	HeardAt time.Time
	// Reporting is the number of those that send reports, ReportsPerSecond the usual rate of
	// all of these.
	Reporting        int
	ReportsPerSecond float64
}

// silenceLimit returns the time without a report after which the data centre is quiet. All of
// its upstreams may send theirs at the same moment.
func (d DataCentre) silenceLimit() time.Duration {
	interval := time.Duration(float64(d.Reporting) / d.ReportsPerSecond * float64(time.Second))
	return max(quietTime, quietIntervals*interval/2)
}

// enough reports whether so many reports are due that their absence says something.
func (d DataCentre) enough() bool {
	return d.ReportsPerSecond*quietTime.Seconds() >= minMissedReports
}

// Quiet returns the data centres from which reports have stopped while others come. It takes a
// part of the time after which a single upstream counts as silent, since dozens are missed. It
// returns none if nothing has come lately: then the fault may be on this side.
func Quiet(dataCentres map[string]DataCentre, now time.Time) map[string]bool {
	receives := false
	for _, d := range dataCentres {
		receives = receives || now.Sub(d.HeardAt) <= freshTime
	}
	quiet := map[string]bool{}
	for name, d := range dataCentres {
		if receives && d.enough() && now.Sub(d.HeardAt) > d.silenceLimit() {
			quiet[name] = true
		}
	}
	return quiet
}
