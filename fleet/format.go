package fleet

import (
	"bytes"

	"github.com/BurntSushi/toml"
)

// Format writes a configuration as TOML that Parse reads back to the same
// configuration.
func Format(config *Config) (text []byte) {
	var buffer bytes.Buffer
	encoder := toml.NewEncoder(&buffer)
	encoder.Indent = ""
	if err := encoder.Encode(config); err != nil {
		// The types of Config hold nothing that TOML can't express.
		panic("fleet: a configuration can't be written as TOML: " + err.Error())
	}
	return buffer.Bytes()
}
