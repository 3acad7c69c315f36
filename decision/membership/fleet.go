package membership

// FleetMember is a VM that belongs to the fleet, dead or not.
type FleetMember struct {
	Member
	// Live VMs get new work: they are alive or suspect, and not leaving.
	Live bool
}

// Fleet returns this VM and all members, except for dead ones that had announced that
// they were leaving. The order is undefined.
func (t *Table) Fleet() []FleetMember {
	fleet := make([]FleetMember, 0, len(t.members)+1)
	fleet = append(fleet, FleetMember{
		Member: t.self,
		Live:   t.self.State == Alive,
	})
	for _, e := range t.members {
		if e.leaving && e.State == Dead {
			continue
		}
		fleet = append(fleet, FleetMember{
			Member: e.Member,
			Live:   !e.leaving && e.State != Dead,
		})
	}
	return fleet
}
