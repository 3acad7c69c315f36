package catalog_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"amaranthdock.dev/engine/catalog"
)

// randomConfiguration returns a configuration with some of many possible entries.
func randomConfiguration(random *rand.Rand, version uint64) *catalog.Configuration {
	c := &catalog.Configuration{
		Version:         version,
		Routes:          map[string]catalog.Route{},
		Databases:       map[string]catalog.Database{},
		Workspaces:      map[string]catalog.Workspace{},
		WorkspaceByKey:  map[string]string{},
		TransactionIdle: time.Duration(random.IntN(3)) * time.Second,
	}
	for i := range 40 {
		name := fmt.Sprintf("n%d", i)
		if random.IntN(2) == 0 {
			c.Routes[name] = catalog.Route{
				Host:    name,
				Timeout: time.Duration(random.IntN(3)),
			}
			c.WorkspaceByKey[name] = fmt.Sprintf("w%d", random.IntN(3))
		}
		if random.IntN(2) == 0 {
			c.Workspaces[name] = catalog.Workspace{
				Name:  name,
				Burst: float64(random.IntN(3)),
			}
			c.Databases[name] = catalog.Database{Name: name}
		}
	}
	return c
}

var _ = Describe("the difference between two configurations", func() {
	It("turns the older one into the newer one", func() {
		// Guards against a withdrawn key, a lowered limit or a removed route that stays in
		// force on VMs that get differences.
		random := rand.New(rand.NewPCG(1, 2))
		older := randomConfiguration(random, 1)
		for version := uint64(2); version < 200; version++ {
			newer := randomConfiguration(random, version)
			result, ok := newer.Since(older).Apply(older)
			Expect(ok).To(BeTrue())
			Expect(result).To(Equal(newer))
			older = newer
		}
	})

	It("applies to no other version", func() {
		random := rand.New(rand.NewPCG(3, 4))
		older, other, newer := randomConfiguration(random, 1), randomConfiguration(random, 2), randomConfiguration(random, 3)
		_, ok := newer.Since(older).Apply(other)
		Expect(ok).To(BeFalse())
		_, ok = newer.Since(older).Apply(nil)
		Expect(ok).To(BeFalse())
	})
})
