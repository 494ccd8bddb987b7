package hook

// pushSlot adds a slot to the stack and returns it. The content of the slot is undefined. The capacity of
// the stack is sufficient, because enter reserves it for all operands of a call.
func (m *Machine) pushSlot() *value {
	top := len(m.stack)
	m.stack = m.stack[:top+1]
	return &m.stack[top]
}

func (m *Machine) push(v value) { *m.pushSlot() = v }

// pushBool pushes a bool.
func (m *Machine) pushBool(b bool) { m.pushSlot().number = boolNumber(b) }

// popInto moves the value on top of the stack to another slot of the stack.
func (m *Machine) popInto(slot int) {
	top := len(m.stack) - 1
	m.stack[slot] = m.stack[top]
	m.stack = m.stack[:top]
}

// drop removes count values from the top of the stack.
func (m *Machine) drop(count int) { m.stack = m.stack[:len(m.stack)-count] }

// top returns a pointer to the value on top of the stack. It is valid until the stack changes.
func (m *Machine) top() *value { return &m.stack[len(m.stack)-1] }

// topTwo returns pointers to the two values on top of the stack. right is the topmost value.
func (m *Machine) topTwo() (left, right *value) {
	last := len(m.stack) - 1
	return &m.stack[last-1], &m.stack[last]
}

// replaceTwo replaces the two values on top of the stack by one.
func (m *Machine) replaceTwo(result *value) {
	last := len(m.stack) - 1
	m.stack[last-1] = *result
	m.stack = m.stack[:last]
}

// replaceTwoByBool replaces the two values on top of the stack by a bool.
func (m *Machine) replaceTwoByBool(result bool) {
	last := len(m.stack) - 1
	m.stack[last-1].number = boolNumber(result)
	m.stack = m.stack[:last]
}

// pushField pushes a field of the event.
func (m *Machine) pushField(op opcode, number int32) {
	if op == opTextField {
		m.pushSlot().text = m.event.Text[number]
	} else {
		m.pushSlot().number = m.event.Int[number]
	}
}

// shouldJump reports whether a conditional jump is taken. It removes the condition from the stack if the
// instruction requires it.
func (m *Machine) shouldJump(op opcode) bool {
	isFalse := m.top().number == 0
	if op == opJumpIfFalse {
		m.drop(1)
		return isFalse
	}
	jumps := isFalse == (op == opJumpIfFalseOrPop)
	if !jumps {
		m.drop(1)
	}
	return jumps
}

// iterate executes an instruction of a for loop on the variables of the loop.
func (m *Machine) iterate(op opcode, variables []value) {
	switch op {
	case opRangeTest:
		m.pushBool(variables[0].number < variables[1].number)
	case opIncrement:
		variables[0].number++
	default:
		items, position := variables[1].list.items, &variables[2].number
		hasNext := *position < int64(len(items))
		if hasNext {
			variables[0] = items[*position]
			*position++
		}
		m.pushBool(hasNext)
	}
}

// accessState executes an instruction on the declared state with an index. If the state is a map, its key
// is on the stack. If the instruction adds a number, the number is on top of the stack.
func (m *Machine) accessState(op opcode, state int) error {
	hasKey := op == opEntryValue || op == opEntryAdd || op == opEntryForget
	hasNumber := op == opCounterAdd || op == opEntryAdd
	var number int64
	var key string
	base := len(m.stack)
	if hasNumber {
		base--
		number = m.stack[base].number
	}
	if hasKey {
		base--
		key = m.stack[base].text
	}
	if len(key) > MaxKeyBytes {
		return valueError("a key of %d bytes: %d at the most", len(key), MaxKeyBytes)
	}
	if !m.spend(sizeCost(stateAccessBytes + len(key))) {
		return ErrFuel
	}
	if hasNumber { // the store keeps the change until the end of the run
		if err := m.allocate(entrySize + len(key)); err != nil {
			return err
		}
	}
	m.stack = m.stack[:base]
	switch {
	case hasNumber:
		m.push(intValue(m.store.Add(state, key, number)))
	case op == opEntryForget:
		m.store.Forget(state, key)
	default:
		m.push(intValue(m.store.Value(state, key)))
	}
	return nil
}
