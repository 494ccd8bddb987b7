package merge

import "strconv"

// firstAssignedCell is the first number assigned to a cell whose name is not a number. It is
// above every number that a source can give a cell itself.
const firstAssignedCell = 1 << 20

// cellNumbers maps the cell names of the sources to the cell numbers of the core.
type cellNumbers struct {
	byName map[string]int
	next   int
}

func newCellNumbers() *cellNumbers {
	return &cellNumbers{byName: make(map[string]int), next: firstAssignedCell}
}

// number returns the number of the cell with this name. A name that is a decimal number below
// firstAssignedCell is its own number; any other name is assigned a number, which never changes.
// The result is nil for an empty name.
func (c *cellNumbers) number(name string) *int {
	if name == "" {
		return nil
	}
	if parsed, err := strconv.Atoi(name); err == nil && parsed >= 0 && parsed < firstAssignedCell {
		return &parsed
	}
	assigned, known := c.byName[name]
	if !known {
		assigned = c.next
		c.next++
		c.byName[name] = assigned
	}
	return &assigned
}
