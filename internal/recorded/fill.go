package recorded

import (
	"fmt"
	"reflect"
)

// Filler sets fields to distinct values, which it derives from a running count. Every bool is set to true. The zero
// Filler is ready for use.
type Filler struct {
	Count int // values visited so far, including structs and other containers
}

// Fill sets every exported field that is reachable from v, in order of declaration. It panics at a value of a kind that
// no recorded type contains.
func (f *Filler) Fill(v reflect.Value) {
	f.Count++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.Fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.Fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.Fill(v.Index(0))
		f.Fill(v.Index(1))
	case reflect.Array:
		for i := range v.Len() {
			f.Fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.Fill(key)
		f.Fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", f.Count))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(f.Count))
	case reflect.Uint64:
		v.SetUint(uint64(f.Count))
	case reflect.Float64:
		v.SetFloat(float64(f.Count) + 0.25)
	default:
		panic("recorded: cannot fill a value of kind " + v.Kind().String())
	}
}
