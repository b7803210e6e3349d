package planner

import "time"

const minutesPerDay = 24 * 60

// Window is a time of day, UTC, as HH:MM, From included and To excluded. From
// after To spans midnight.
type Window struct{ From, To string }

// InWindow says whether a time lies in any of the windows. A window that can't
// be read covers nothing.
func InWindow(windows []Window, at time.Time) bool {
	at = at.UTC()
	minute := at.Hour()*60 + at.Minute()
	for _, w := range windows {
		from, fromOK := minuteOfDay(w.From)
		to, toOK := minuteOfDay(w.To)
		if !fromOK || !toOK {
			continue
		}
		length := (to - from + minutesPerDay) % minutesPerDay
		if (minute-from+minutesPerDay)%minutesPerDay < length {
			return true
		}
	}
	return false
}

func minuteOfDay(clock string) (int, bool) {
	t, err := time.Parse("15:04", clock)
	return t.Hour()*60 + t.Minute(), err == nil
}
