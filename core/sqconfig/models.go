package sqconfig

import (
	"strconv"

	"sequoiadock/core/sqcommand"
)

// modelsFile is models.toml as written.
type modelsFile struct {
	Models []struct {
		Name        string   `toml:"name"`
		Version     string   `toml:"version"`
		Adapters    []string `toml:"adapters"`
		WeightBytes uint64   `toml:"weightBytes"`
	} `toml:"models"`
}

// maxWeightBytes bounds the size of one model.
const maxWeightBytes = 1 << 46

func readModels(c *collector, f File) {
	var m modelsFile
	k := decode(f, &m)
	for i := range m.Models {
		m.model(c, k, i)
	}
	c.finish(k)
}

func (m *modelsFile) model(c *collector, k *checker, i int) {
	path := at("models", i)
	model := &m.Models[i]
	c.named(k, path+".name", "model", model.Name)
	k.CheckName(path+".version", model.Version)
	first := map[string]bool{}
	for j, a := range model.Adapters {
		if k.CheckName(at(path+".adapters", j), a) && first[a] {
			k.AddError(at(path+".adapters", j), "adapter "+strconv.Quote(a)+" is given twice", "write each adapter once")
		}
		first[a] = true
	}
	c.cfg.Models = append(c.cfg.Models, &sqcommand.Model{
		Name:        model.Name,
		Version:     model.Version,
		Adapters:    model.Adapters,
		WeightBytes: k.optional(path+".weightBytes", model.WeightBytes, 0, 0, maxWeightBytes),
	})
}
