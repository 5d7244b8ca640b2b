package platformconfig

// notFound is the index of a name that is not in a list. No engine, tenant or class has this index.
const notFound = -1

// Names maps the names in the settings to the indexes that the controller uses.
type Names struct {
	Classes, Tenants, Zones, Kinds map[string]int

	classes []string // names of the classes, by index
}

// ClassName returns the name of class i, or text, the name as written in the request, if there is no class i. All
// requests of a class share one string.
func (n *Names) ClassName(i int, text []byte) string {
	if i < len(n.classes) {
		return n.classes[i]
	}
	return string(text)
}

// IndexOf returns the index of a name; -1 if names does not contain it.
func IndexOf(names map[string]int, name string) int {
	if i, ok := names[name]; ok {
		return i
	}
	return notFound
}

// indexes maps each name to its index in the list.
func indexes(list []string) map[string]int {
	byName := make(map[string]int, len(list))
	for i, name := range list {
		byName[name] = i
	}
	return byName
}
