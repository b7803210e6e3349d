package planner

import "time"

const minutesPerDay = 24 * 60

// Window is a daily time window in UTC, given as HH:MM. From is included, To is
// not. If From is after To the window spans midnight.
type Window struct{ From, To string }

// InWindow reports whether a time is in any of the windows. A window with an
// invalid time is ignored.
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

// minuteOfDay parses HH:MM and returns the minutes since midnight.
func minuteOfDay(clock string) (int, bool) {
	t, err := time.Parse("15:04", clock)
	return t.Hour()*60 + t.Minute(), err == nil
}
