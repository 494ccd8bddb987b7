package hook

import "time"

func runNow(m *Machine, operands []value, _ kind) error {
	operands[0] = intValue(m.event.Now.UnixNano())
	return nil
}

func runHeader(m *Machine, operands []value, _ kind) error {
	content := ""
	if m.event.Headers != nil {
		content = m.event.Headers.Header(operands[0].text)
	}
	operands[0] = textValue(content)
	return nil
}

// The signatures of the calendar functions. The last argument is the name of a time zone. The checker
// replaces the name by the zone's index in Program.zones.
var (
	signatureCalendar = fixed(typeInt, typeTime, typeText)
	signatureDate     = fixed(typeTime, typeInt, typeInt, typeInt, typeText)
)

func (m *Machine) zone(index int64) *time.Location { return m.program.zones[index] }

// localTime returns the first argument of a calendar function, a time, in the time zone that is the second
// argument.
func (m *Machine) localTime(arguments []value) time.Time {
	return time.Unix(0, arguments[0].number).In(m.zone(arguments[1].number))
}

func runYear(m *Machine, operands []value, _ kind) error {
	operands[0] = intValue(int64(m.localTime(operands).Year()))
	return nil
}

func runMonth(m *Machine, operands []value, _ kind) error {
	operands[0] = intValue(int64(m.localTime(operands).Month()))
	return nil
}

func runDay(m *Machine, operands []value, _ kind) error {
	operands[0] = intValue(int64(m.localTime(operands).Day()))
	return nil
}

func runHour(m *Machine, operands []value, _ kind) error {
	operands[0] = intValue(int64(m.localTime(operands).Hour()))
	return nil
}

func runMinute(m *Machine, operands []value, _ kind) error {
	operands[0] = intValue(int64(m.localTime(operands).Minute()))
	return nil
}

// runWeekday returns 0 for Monday to 6 for Sunday.
func runWeekday(m *Machine, operands []value, _ kind) error {
	const daysFromMondayToSunday = 6
	weekday := (int(m.localTime(operands).Weekday()) + daysFromMondayToSunday) % 7
	operands[0] = intValue(int64(weekday))
	return nil
}

// runDate returns midnight of a date. Every year that isDate allows fits into Unix time in int64 nanoseconds.
func runDate(m *Machine, operands []value, _ kind) error {
	year, month, day := operands[0].number, operands[1].number, operands[2].number
	if !isDate(year, month, day) {
		return valueError("the date %d-%d-%d", year, month, day)
	}
	midnight := time.Date(int(year), time.Month(month), int(day), 0, 0, 0, 0, m.zone(operands[3].number))
	operands[0] = intValue(midnight.UnixNano())
	return nil
}

// isDate reports whether a date is within the bounds of the calendar: years 1700 to 2200, months 1 to
// 12, days 1 to 31. A day that the month does not have is a day of the next month, as in time.Date.
func isDate(year, month, day int64) bool {
	const minYear, maxYear = 1700, 2200
	inYears := year >= minYear && year <= maxYear
	return inYears && month >= 1 && month <= 12 && day >= 1 && day <= 31
}
