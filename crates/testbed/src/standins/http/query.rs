//! Values in the query of a URI.

use percent_encoding::percent_decode_str;

/// The decoded value of `name` in a query such as `prefix=a%2Fb&from=7`.
pub fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    let pairs = query?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)?;
    Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
}
