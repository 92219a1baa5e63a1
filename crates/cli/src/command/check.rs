//! placeholder
use crate::arguments::Check;
use crate::exit::Code;
use crate::output::Output;
/// placeholder
pub(crate) fn run(_check: &Check, _output: Output) -> Code {
    Code::Usage
}
