package lending

// Dump is the state of a Limiter, as included in the state dump for operators.
type Dump struct {
	Loaded   bool          `json:"loaded"`
	Leaving  bool          `json:"leaving"`
	Manager  bool          `json:"manager"`
	Revision uint64        `json:"revision"`
	Subjects []SubjectDump `json:"subjects"`
}

// SubjectDump is the state of one subject.
type SubjectDump struct {
	Name string `json:"name"`
	// Millionths is the size of this VM's share in millionths of the limit.
	Millionths int64 `json:"millionths"`
	Tokens     int64 `json:"tokens"`
	// Waiting is the number of requests that wait for a token.
	Waiting int `json:"waiting"`
	// Holders are the VMs that hold a share of the subject.
	Holders []string `json:"holders"`
}

// Dump returns the current state as a Dump.
func (l *Limiter) Dump() any {
	manager := l.isManager()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Dump{
		Loaded:   l.loaded,
		Leaving:  l.leaving,
		Manager:  manager,
		Revision: l.revision,
	}
	now := l.config.Timer.Now()
	for _, r := range l.record.Subjects {
		s := l.subject(now, r.Name)
		subject := SubjectDump{
			Name:       r.Name,
			Millionths: s.share.Millionths(),
			Tokens:     s.share.Available(now),
			Waiting:    len(s.waiters),
		}
		for _, share := range r.Shares {
			subject.Holders = append(subject.Holders, share.VM)
		}
		d.Subjects = append(d.Subjects, subject)
	}
	return d
}
