package hook

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// calendarCost is the fuel of working out a local calendar's date.
const calendarCost = 160

// builtin carries a builtin out: its arguments are on top of the stack, and its
// value takes their place.
func (m *Machine) builtin(number int, k kind) error {
	top := len(m.stack) - 1
	arg := func(i, of int) *value { return &m.stack[len(m.stack)-of+i] }
	give := func(of int, v value) error {
		m.stack = append(m.stack[:len(m.stack)-of], v)
		return nil
	}
	made := func(of int, s string) error {
		if err := m.hold(len(s) + textSize); err != nil {
			return err
		}
		return give(of, value{s: s})
	}
	switch number {
	case bLen:
		v := &m.stack[top]
		n := len(v.s)
		switch k {
		case kindList:
			n = len(v.list.items)
		case kindMap:
			n = len(v.m.keys)
		}
		return give(1, value{n: int64(n)})
	case bLower, bUpper, bTrim:
		s := m.stack[top].s
		if !m.spend(len(s)) {
			return ErrFuel
		}
		if number == bTrim {
			return give(1, value{s: strings.TrimSpace(s)})
		}
		change := strings.ToLower
		if number == bUpper {
			change = strings.ToUpper
		}
		changed := change(s)
		if changed == s {
			return give(1, value{s: s})
		}
		return made(1, changed)
	case bHasPrefix, bHasSuffix:
		a, b := arg(0, 2).s, arg(1, 2).s
		if !m.spend(len(b)) {
			return ErrFuel
		}
		if number == bHasPrefix {
			return give(2, flag(strings.HasPrefix(a, b)))
		}
		return give(2, flag(strings.HasSuffix(a, b)))
	case bFind:
		if !m.spend(len(arg(0, 2).s)) {
			return ErrFuel
		}
		return give(2, value{n: int64(strings.Index(arg(0, 2).s, arg(1, 2).s))})
	case bSlice:
		s, from, to := arg(0, 3).s, arg(1, 3).n, arg(2, 3).n
		if from < 0 || to < from || to > int64(len(s)) {
			return wrong("bytes %d to %d of a text of %d", from, to, len(s))
		}
		return give(3, value{s: s[from:to]})
	case bSplit:
		return m.split(arg(0, 2).s, arg(1, 2).s)
	case bJoin:
		l, by := arg(0, 2).list, arg(1, 2).s
		size := 0
		for i := range l.items {
			size += len(l.items[i].s) + len(by)
		}
		if err := m.hold(size + textSize); err != nil { // before it is made
			return err
		}
		parts := make([]string, len(l.items))
		for i := range l.items {
			parts[i] = l.items[i].s
		}
		return give(2, value{s: strings.Join(parts, by)})
	case bText:
		if k == kindText {
			return nil
		}
		return made(1, textOf(k, m.stack[top]))
	case bParseInt:
		n, err := strconv.ParseInt(arg(0, 2).s, 10, 64)
		if !m.spend(min(len(arg(0, 2).s), 20)) {
			return ErrFuel
		}
		if err != nil {
			n = arg(1, 2).n
		}
		return give(2, value{n: n})
	case bInt:
		f := bitsFloat(m.stack[top].n)
		if !(f > -math.MaxInt64 && f < math.MaxInt64) {
			return wrong("%v as an int", f)
		}
		return give(1, value{n: int64(f)})
	case bFloat:
		return give(1, value{n: floatBits(float64(m.stack[top].n))})
	case bSeconds:
		return give(1, value{n: floatBits(time.Duration(m.stack[top].n).Seconds())})
	case bMin, bMax:
		return give(2, m.extreme(number, k, *arg(0, 2), *arg(1, 2)))
	case bPush:
		if err := m.hold(valueSize); err != nil {
			return err
		}
		l := arg(0, 2).list
		l.items = append(l.items, *arg(1, 2))
		m.stack = m.stack[:top-1]
		return nil
	case bKeys:
		d := m.stack[top].m
		if err := m.hold(valueSize * (len(d.keys) + 1)); err != nil {
			return err
		}
		l := &list{items: make([]value, len(d.keys))}
		for i, key := range d.keys {
			l.items[i].s = key
		}
		return give(1, value{list: l})
	case bGet:
		key := arg(1, 3).s
		if !m.spend(len(key)) {
			return ErrFuel
		}
		v := *arg(2, 3)
		if at, ok := arg(0, 3).m.at[key]; ok {
			v = arg(0, 3).m.vals[at]
		}
		return give(3, v)
	case bDelete:
		if err := m.remove(arg(0, 2).m, arg(1, 2).s); err != nil {
			return err
		}
		m.stack = m.stack[:top-1]
		return nil
	case bNow:
		m.stack = append(m.stack, value{n: m.event.Now.UnixNano()})
		return nil
	case bHeader:
		if !m.spend(64) {
			return ErrFuel
		}
		s := ""
		if m.event.Heads != nil {
			s = m.event.Heads.Header(m.stack[top].s)
		}
		return give(1, value{s: s})
	case bYear, bMonth, bDay, bHour, bMinute, bWeekday, bDate:
		return m.calendar(number)
	}
	return m.effect(number)
}

func (m *Machine) split(s, by string) error {
	if by == "" {
		return wrong("a split by nothing")
	}
	if !m.spend(len(s)) {
		return ErrFuel
	}
	n := strings.Count(s, by) + 1
	if err := m.hold(valueSize * (n + 1)); err != nil { // before it is made
		return err
	}
	l := &list{items: make([]value, 0, n)}
	for part := range strings.SplitSeq(s, by) {
		l.items = append(l.items, value{s: part})
	}
	m.stack = append(m.stack[:len(m.stack)-2], value{list: l})
	return nil
}

func (m *Machine) extreme(number int, k kind, a, b value) value {
	less := a.n < b.n
	switch k {
	case kindText:
		less = a.s < b.s
	case kindFloat:
		less = bitsFloat(a.n) < bitsFloat(b.n)
	}
	if less == (number == bMin) {
		return a
	}
	return b
}

// calendar works out parts of a date, or a date of its parts, in a time zone.
func (m *Machine) calendar(number int) error {
	if !m.spend(calendarCost) {
		return ErrFuel
	}
	top := len(m.stack) - 1
	in := m.program.zones[m.stack[top].n].Location
	if number == bDate {
		y, mo, d := m.stack[top-3].n, m.stack[top-2].n, m.stack[top-1].n
		if y < 1700 || y > 2200 || mo < 1 || mo > 12 || d < 1 || d > 31 {
			return wrong("the date %d-%d-%d", y, mo, d)
		}
		m.stack = append(m.stack[:top-3], value{n: time.Date(int(y), time.Month(mo), int(d), 0, 0, 0, 0, in).UnixNano()})
		return nil
	}
	t := time.Unix(0, m.stack[top-1].n).In(in)
	n := 0
	switch number {
	case bYear:
		n = t.Year()
	case bMonth:
		n = int(t.Month())
	case bDay:
		n = t.Day()
	case bHour:
		n = t.Hour()
	case bMinute:
		n = t.Minute()
	case bWeekday:
		n = (int(t.Weekday()) + 6) % 7 // 0 is Monday
	}
	m.stack = append(m.stack[:top-1], value{n: int64(n)})
	return nil
}

// effect notes what a program asks for.
func (m *Machine) effect(number int) error {
	if len(m.effects) >= maxEffects {
		return ErrEffects
	}
	top := len(m.stack) - 1
	var e Effect
	n := 1
	switch number {
	case bSetHeader, bLabel:
		e, n = Effect{Kind: SetHeader, Name: m.stack[top-1].s, Text: m.stack[top].s}, 2
		if number == bLabel {
			e.Kind = Label
		}
	case bRemoveHeader:
		e = Effect{Kind: RemoveHeader, Name: m.stack[top].s}
	case bTag:
		e = Effect{Kind: Tag, Text: m.stack[top].s}
	case bSetTenant:
		e = Effect{Kind: SetTenant, Text: m.stack[top].s}
	case bCount:
		e = Effect{Kind: Count, Name: m.stack[top].s}
	case bRefuse:
		e, n = Effect{Kind: Refuse, Text: m.stack[top-1].s, Pause: time.Duration(m.stack[top].n)}, 2
	}
	if !m.spend(len(e.Name) + len(e.Text)) {
		return ErrFuel
	}
	m.effects = append(m.effects, e)
	m.stack = m.stack[:top+1-n]
	if number == bRefuse {
		return errRefused
	}
	return nil
}
