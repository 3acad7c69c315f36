package harness

import (
	"context"
	"path/filepath"
	"slices"
	"strconv"
)

// host returns the name of the member on the network.
func (m *Member) host() string {
	return m.address.host.name
}

// MembersOf returns the members of a database.
func (d *Deployment) MembersOf(database string) []*Member {
	var members []*Member
	for _, m := range d.Members {
		if m.Database == database {
			members = append(members, m)
		}
	}
	return members
}

// IsolateMember cuts a member off from every other host.
func (d *Deployment) IsolateMember(m *Member) {
	d.Network.Isolate(m.host())
}

// placeMembers puts one member of each database into each data centre in turn.
func (d *Deployment) placeMembers() error {
	shape := d.config.Spec
	dataCentres := shape.dataCentres()
	number := byte(0)
	for i, database := range shape.Databases {
		for j := range MembersPerDatabase {
			dataCentre := dataCentres[(i+j)%len(dataCentres)]
			endpoint := database + "-" + string(rune('a'+j))
			number++
			address, err := d.place(endpoint, shape.regionOf(dataCentre), memberNet, number)
			if err != nil {
				return err
			}
			d.Members = append(d.Members, &Member{
				Endpoint:   endpoint,
				Database:   database,
				DataCentre: dataCentre,
				address:    address,
			})
		}
	}
	return nil
}

func (d *Deployment) startMembers(ctx context.Context) error {
	for _, m := range d.Members {
		process, err := StartProcess(ProcessConfig{
			Name:   m.Endpoint,
			Binary: filepath.Join(d.config.BinDir, "standin"),
			Args:   d.memberArgs(m),
			LogDir: d.config.WorkDir,
		})
		if err != nil {
			return err
		}
		m.Process = process
	}
	for _, m := range d.Members {
		if err := d.waitListening(ctx, m.address.listen); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) memberArgs(m *Member) []string {
	shape := d.config.Spec
	args := []string{
		"member",
		"--name", m.Endpoint,
		"--listen", m.address.listen.String(),
		"--slots", strconv.Itoa(shape.Slots),
		"--connections", strconv.Itoa(shape.Connections),
		"--connection-cost", shape.ConnectionCost.String(),
		"--statement-time", shape.StatementTime.String(),
		"--lag", shape.ReplicationLag.String(),
		"--log-file", filepath.Join(d.config.WorkDir, m.Endpoint+".data"),
	}
	if shape.ResponseDelay > 0 {
		args = append(args, "--answer-delay", shape.ResponseDelay.String())
	}
	if shape.PieceRows > 0 {
		args = append(args, "--piece-rows", strconv.Itoa(shape.PieceRows))
	}
	for _, other := range d.MembersOf(m.Database) {
		if other != m {
			args = append(args, "--peer", other.Endpoint+"="+other.address.advertise.String())
		}
	}
	return args
}

// MembersPerDatabase is the size of a database group.
const MembersPerDatabase = 3

func (s Spec) dataCentres() []string {
	var dataCentres []string
	for _, r := range s.Regions {
		dataCentres = append(dataCentres, r.DataCentres...)
	}
	return dataCentres
}

func (s Spec) regionOf(dataCentre string) string {
	for _, r := range s.Regions {
		if slices.Contains(r.DataCentres, dataCentre) {
			return r.Name
		}
	}
	return ""
}
