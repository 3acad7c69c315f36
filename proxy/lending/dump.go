package lending

// Dump is the state of the part for operators.
type Dump struct {
	Loaded   bool          `json:"loaded"`
	Leaving  bool          `json:"leaving"`
	Manager  bool          `json:"manager"`
	Revision uint64        `json:"revision"`
	Subjects []SubjectDump `json:"subjects"`
}

// SubjectDump is the state of one subject.
type SubjectDump struct {
	Name       string   `json:"name"`
	Millionths int64    `json:"millionths"`
	Tokens     int64    `json:"tokens"`
	Waiting    int      `json:"waiting"`
	Holders    []string `json:"holders"`
}

// Dump returns a Dump.
func (p *Part) Dump() any {
	manager := p.manages()
	p.mu.Lock()
	defer p.mu.Unlock()
	d := Dump{
		Loaded:   p.loaded,
		Leaving:  p.leaving,
		Manager:  manager,
		Revision: p.revision,
	}
	now := p.config.Timer.Now()
	for _, r := range p.record.Subjects {
		s := p.subject(now, r.Name)
		subject := SubjectDump{
			Name:       r.Name,
			Millionths: s.share.Millionths(),
			Tokens:     s.share.Available(now),
			Waiting:    len(s.waiters),
		}
		for _, part := range r.Shares {
			subject.Holders = append(subject.Holders, part.VM)
		}
		d.Subjects = append(d.Subjects, subject)
	}
	return d
}
