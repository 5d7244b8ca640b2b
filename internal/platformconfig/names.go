package platformconfig

// notFound is the index of a name that is not in a list. It equals that of no engine, tenant or class.
const notFound = -1

// Names maps the names of the settings to the indexes that the controller knows.
type Names struct {
	Classes, Tenants, Zones, Kinds map[string]int

	classes []string // by index
}

// ClassName is the name of the class of an index, or text, the name that a request spells, where there is none. All
// requests of a class share one string.
func (n *Names) ClassName(i int, text []byte) string {
	if i < len(n.classes) {
		return n.classes[i]
	}
	return string(text)
}

// IndexOf returns the index of a name; -1 when there is none.
func IndexOf(names map[string]int, name string) int {
	if i, ok := names[name]; ok {
		return i
	}
	return notFound
}

// indexes maps names to their places in a list.
func indexes(list []string) map[string]int {
	byName := make(map[string]int, len(list))
	for i, name := range list {
		byName[name] = i
	}
	return byName
}
