package hook

func runPush(m *Machine, operands []value, _ kind) error {
	if err := m.allocate(valueSize); err != nil {
		return err
	}
	list := operands[0].list
	list.items = append(list.items, operands[1])
	return nil
}

func runKeys(m *Machine, operands []value, _ kind) error {
	keys := operands[0].dict.keys
	if err := m.allocate(listSize(len(keys))); err != nil {
		return err
	}
	items := make([]value, len(keys))
	for i, key := range keys {
		items[i].text = key
	}
	operands[0] = value{list: &listValue{items: items}}
	return nil
}

func runGet(_ *Machine, operands []value, _ kind) error {
	dict, key := operands[0].dict, operands[1].text
	if i, ok := dict.indexes[key]; ok {
		operands[0] = dict.values[i]
		return nil
	}
	operands[0] = operands[2]
	return nil
}

// runDelete removes an entry from a map; the other entries keep their order. It spends fuel only if the
// entry exists.
func runDelete(m *Machine, operands []value, _ kind) error {
	dict, key := operands[0].dict, operands[1].text
	deleted, ok := dict.indexes[key]
	if !ok {
		return nil
	}
	if !m.spend(sizeCost(wordSize * len(dict.keys))) {
		return ErrFuel
	}
	delete(dict.indexes, key)
	dict.keys = append(dict.keys[:deleted], dict.keys[deleted+1:]...)
	dict.values = append(dict.values[:deleted], dict.values[deleted+1:]...)
	for i := deleted; i < len(dict.keys); i++ {
		dict.indexes[dict.keys[i]] = i
	}
	return nil
}
