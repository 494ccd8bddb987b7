package hook

import "strings"

// collection executes an instruction on a text, list or map on the stack.
func (m *Machine) collection(i *instruction) error {
	switch i.op {
	case opInText:
		return m.inText()
	case opInMap:
		return m.inMap()
	case opInList:
		return m.inList(equality(i.a))
	case opListGet:
		return m.listGet()
	case opMapGet:
		return m.mapGet()
	case opListSet:
		return m.listSet()
	case opMapSet:
		return m.mapSet()
	case opNewList:
		return m.newList(int(i.a))
	default:
		return m.newMap()
	}
}

func (m *Machine) inText() error {
	part, text := m.topTwo()
	if !m.spend(sizeCost(len(text.text))) {
		return ErrFuel
	}
	m.replaceTwoByBool(strings.Contains(text.text, part.text))
	return nil
}

func (m *Machine) inMap() error {
	key, dict := m.topTwo()
	if !m.spend(sizeCost(len(key.text))) {
		return ErrFuel
	}
	_, found := dict.dict.indexes[key.text]
	m.replaceTwoByBool(found)
	return nil
}

// inList searches a list from its first entry and spends fuel for each entry that it compares.
func (m *Machine) inList(mode equality) error {
	wanted, list := m.topTwo()
	found := false
	for i := range list.list.items {
		size, isEqual := compareEntry(mode, &list.list.items[i], wanted)
		if !m.spend(sizeCost(size)) {
			return ErrFuel
		}
		if isEqual {
			found = true
			break
		}
	}
	m.replaceTwoByBool(found)
	return nil
}

// compareEntry compares an entry of a list with the wanted value. size is the work of the comparison, in
// bytes.
func compareEntry(mode equality, entry, wanted *value) (size int, isEqual bool) {
	switch mode {
	case equalTexts:
		return min(len(wanted.text), len(entry.text)), entry.text == wanted.text
	case equalFloats:
		return wordSize, entry.float() == wanted.float()
	default:
		return wordSize, entry.number == wanted.number
	}
}

// entry returns the entry at an index. It returns an error if the index is out of range.
func (l *listValue) entry(index int64) (*value, error) {
	if index < 0 || index >= int64(len(l.items)) {
		return nil, valueError("place %d of a list of %d", index, len(l.items))
	}
	return &l.items[index], nil
}

func (m *Machine) listGet() error {
	list, index := m.topTwo()
	entry, err := list.list.entry(index.number)
	if err != nil {
		return err
	}
	m.replaceTwo(entry)
	return nil
}

func (m *Machine) mapGet() error {
	dict, key := m.topTwo()
	if !m.spend(sizeCost(len(key.text))) {
		return ErrFuel
	}
	i, ok := dict.dict.indexes[key.text]
	if !ok {
		return valueError("a map has no %.40q: get(map, key, other) gives another value then", key.text)
	}
	m.replaceTwo(&dict.dict.values[i])
	return nil
}

func (m *Machine) listSet() error {
	operands := m.stack[len(m.stack)-3:]
	entry, err := operands[0].list.entry(operands[1].number)
	if err != nil {
		return err
	}
	*entry = operands[2]
	m.drop(3)
	return nil
}

func (m *Machine) mapSet() error {
	operands := m.stack[len(m.stack)-3:]
	if err := m.setEntry(operands[0].dict, operands[1].text, operands[2]); err != nil {
		return err
	}
	m.drop(3)
	return nil
}

// setEntry sets an entry of a map. A new entry takes memory.
func (m *Machine) setEntry(dict *mapValue, key string, v value) error {
	if !m.spend(sizeCost(len(key))) {
		return ErrFuel
	}
	if i, ok := dict.indexes[key]; ok {
		dict.values[i] = v
		return nil
	}
	if err := m.allocate(entrySize + len(key)); err != nil {
		return err
	}
	dict.indexes[key] = len(dict.keys)
	dict.keys = append(dict.keys, key)
	dict.values = append(dict.values, v)
	return nil
}

// newList replaces the entries on top of the stack by a list of them.
func (m *Machine) newList(length int) error {
	if err := m.allocate(listSize(length)); err != nil {
		return err
	}
	base := len(m.stack) - length
	items := make([]value, length)
	copy(items, m.stack[base:])
	m.stack = m.stack[:base]
	m.push(value{list: &listValue{items: items}})
	return nil
}

func (m *Machine) newMap() error {
	if err := m.allocate(entrySize); err != nil {
		return err
	}
	m.push(value{dict: &mapValue{indexes: make(map[string]int)}})
	return nil
}
