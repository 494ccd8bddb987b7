package merge

import "strconv"

// firstAssignedCell is the first of the numbers for cells that have a name. It is above any
// number that a source gives a cell itself.
const firstAssignedCell = 1 << 20

// cellNumbers assigns the numbers by which the core knows cells.
type cellNumbers struct {
	byName map[string]int
	next   int
}

func newCellNumbers() *cellNumbers {
	return &cellNumbers{byName: make(map[string]int), next: firstAssignedCell}
}

// number returns a cell's number: the one that its name states, or else one assigned to the
// name for good; nil for no name.
func (c *cellNumbers) number(name string) *int {
	if name == "" {
		return nil
	}
	if stated, err := strconv.Atoi(name); err == nil && stated >= 0 && stated < firstAssignedCell {
		return &stated
	}
	assigned, known := c.byName[name]
	if !known {
		assigned = c.next
		c.next++
		c.byName[name] = assigned
	}
	return &assigned
}
