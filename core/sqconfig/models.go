package sqconfig

import (
	"strconv"

	"sequoiadock/core/sqcommand"
)

// modelsFile is the content of models.toml.
type modelsFile struct {
	Models []struct {
		Name        string   `toml:"name"`
		Version     string   `toml:"version"`
		Adapters    []string `toml:"adapters"`
		WeightBytes uint64   `toml:"weightBytes"`
	} `toml:"models"`
}

// maxWeightBytes is the maximum size of one model's weights.
const maxWeightBytes = 1 << 46

func readModels(c *collector, f File) {
	var m modelsFile
	k := decode(f, &m)
	for i := range m.Models {
		m.addModel(c, k, i)
	}
	c.addFileErrors(k)
}

func (m *modelsFile) addModel(c *collector, k *checker, i int) {
	path := elementPath("models", i)
	model := &m.Models[i]
	c.defineName(k, path+".name", "model", model.Name)
	k.CheckName(path+".version", model.Version)
	seen := map[string]bool{}
	for j, a := range model.Adapters {
		if k.CheckName(elementPath(path+".adapters", j), a) && seen[a] {
			k.AddError(elementPath(path+".adapters", j), "adapter "+strconv.Quote(a)+" is given twice", "write each adapter once")
		}
		seen[a] = true
	}
	c.cfg.Models = append(c.cfg.Models, &sqcommand.Model{
		Name:        model.Name,
		Version:     model.Version,
		Adapters:    model.Adapters,
		WeightBytes: k.checkOptional(path+".weightBytes", model.WeightBytes, 0, 0, maxWeightBytes),
	})
}
