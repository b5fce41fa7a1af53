package cell

// freelist holds, for each level, the free cells whose parent is not free. Every
// operation takes constant time.
type freelist struct {
	levels   [MaxLevel + 1][]ID
	position map[ID]int
}

func (f *freelist) set(id ID, level int, member bool) {
	if member {
		f.add(id, level)
		return
	}
	f.remove(id, level)
}

func (f *freelist) add(id ID, level int) {
	if f.position == nil {
		f.position = map[ID]int{}
	}
	if _, ok := f.position[id]; ok {
		return
	}
	f.position[id] = len(f.levels[level])
	f.levels[level] = append(f.levels[level], id)
}

func (f *freelist) remove(id ID, level int) {
	i, ok := f.position[id]
	if !ok {
		return
	}
	list := f.levels[level]
	last := len(list) - 1
	list[i] = list[last]
	f.position[list[i]] = i
	f.levels[level] = list[:last]
	delete(f.position, id)
}
