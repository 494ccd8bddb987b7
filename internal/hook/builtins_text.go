package hook

import (
	"math"
	"strconv"
	"strings"
	"time"
)

func runLen(_ *Machine, operands []value, kind kind) error {
	measured := &operands[0]
	switch kind {
	case kindList:
		operands[0] = intValue(int64(len(measured.list.items)))
		return nil
	case kindMap:
		operands[0] = intValue(int64(len(measured.dict.keys)))
		return nil
	default:
		operands[0] = intValue(int64(len(measured.text)))
		return nil
	}
}

func runLower(m *Machine, operands []value, _ kind) error {
	return m.changeText(&operands[0], strings.ToLower)
}

func runUpper(m *Machine, operands []value, _ kind) error {
	return m.changeText(&operands[0], strings.ToUpper)
}

// changeText replaces a text by the result of transform. An unchanged text takes no memory.
func (m *Machine) changeText(operand *value, transform func(string) string) error {
	changed := transform(operand.text)
	if changed == operand.text {
		return nil
	}
	*operand = textValue(changed)
	return m.allocate(textSize(changed))
}

func runTrim(_ *Machine, operands []value, _ kind) error {
	operands[0] = textValue(strings.TrimSpace(operands[0].text))
	return nil
}

func runHasPrefix(_ *Machine, operands []value, _ kind) error {
	operands[0] = boolValue(strings.HasPrefix(operands[0].text, operands[1].text))
	return nil
}

func runHasSuffix(_ *Machine, operands []value, _ kind) error {
	operands[0] = boolValue(strings.HasSuffix(operands[0].text, operands[1].text))
	return nil
}

func runFind(_ *Machine, operands []value, _ kind) error {
	operands[0] = intValue(int64(strings.Index(operands[0].text, operands[1].text)))
	return nil
}

func runSlice(_ *Machine, operands []value, _ kind) error {
	text, from, to := operands[0].text, operands[1].number, operands[2].number
	if from < 0 || to < from || to > int64(len(text)) {
		return valueError("bytes %d to %d of a text of %d", from, to, len(text))
	}
	operands[0] = textValue(text[from:to])
	return nil
}

// runSplit splits a text. It spends its fuel itself, because a split by an empty separator fails before that
// fuel is spent.
func runSplit(m *Machine, operands []value, _ kind) error {
	text, separator := operands[0].text, operands[1].text
	if separator == "" {
		return valueError("a split by nothing")
	}
	if !m.spend(sizeCost(len(text))) {
		return ErrFuel
	}
	count := strings.Count(text, separator) + 1
	if err := m.allocate(listSize(count)); err != nil {
		return err
	}
	items := make([]value, 0, count)
	for part := range strings.SplitSeq(text, separator) {
		items = append(items, textValue(part))
	}
	operands[0] = value{list: &listValue{items: items}}
	return nil
}

func runJoin(m *Machine, operands []value, _ kind) error {
	items, separator := operands[0].list.items, operands[1].text
	size := 0
	for i := range items {
		size += len(items[i].text) + len(separator)
	}
	if err := m.allocate(textOverhead + size); err != nil {
		return err
	}
	parts := make([]string, len(items))
	for i := range items {
		parts[i] = items[i].text
	}
	operands[0] = textValue(strings.Join(parts, separator))
	return nil
}

func runText(m *Machine, operands []value, kind kind) error {
	if kind == kindText {
		return nil
	}
	text := formatValue(kind, operands[0])
	operands[0] = textValue(text)
	return m.allocate(textSize(text))
}

// maxIntDigits is the length of the longest text that can be an int: 19 digits and a sign.
const maxIntDigits = 20

func parseIntCost(arguments []value) int64 {
	return sizeCost(min(len(arguments[0].text), maxIntDigits))
}

func runParseInt(_ *Machine, operands []value, _ kind) error {
	n, err := strconv.ParseInt(operands[0].text, 10, 64)
	if err != nil {
		n = operands[1].number
	}
	operands[0] = intValue(n)
	return nil
}

func runInt(_ *Machine, operands []value, _ kind) error {
	f := operands[0].float()
	fits := f > -math.MaxInt64 && f < math.MaxInt64 // false for NaN
	if !fits {
		return valueError("%v as an int", f)
	}
	operands[0] = intValue(int64(f))
	return nil
}

func runFloat(_ *Machine, operands []value, _ kind) error {
	operands[0] = floatValue(float64(operands[0].number))
	return nil
}

func runSeconds(_ *Machine, operands []value, _ kind) error {
	operands[0] = floatValue(time.Duration(operands[0].number).Seconds())
	return nil
}

func runMin(_ *Machine, operands []value, kind kind) error {
	if !isLess(kind, &operands[0], &operands[1]) {
		operands[0] = operands[1]
	}
	return nil
}

func runMax(_ *Machine, operands []value, kind kind) error {
	if isLess(kind, &operands[0], &operands[1]) {
		operands[0] = operands[1]
	}
	return nil
}

func isLess(kind kind, a, b *value) bool {
	switch kind {
	case kindText:
		return a.text < b.text
	case kindFloat:
		return a.float() < b.float()
	default:
		return a.number < b.number
	}
}
